package org.knapweedcleat.core.limit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Counts false denials: denied acquisitions that a single bucket for the whole fleet would have
 * granted for the same sequence. Also counts those of a baseline in which each instance has a fixed
 * equal share of rate and burst that starts full.
 */
final class FalseDenialCounter {

  private final GrantChecker ideal = new GrantChecker();
  private final Map<InstanceId, GrantChecker> baselineBuckets = new HashMap<>();
  private final Map<DenialReason, Long> falseDenials = new EnumMap<>(DenialReason.class);
  private long countedFromMillis;
  private int instances = 1;
  private long acquisitions;
  private long idealGranted;
  private long baselineFalseDenials;

  void setInstances(int count) {
    instances = count;
  }

  /** Counts only from the given time on, when all instances should own their shares. */
  void countFrom(long millis) {
    countedFromMillis = millis;
  }

  void updateLimits(long nowMillis, AccountId account, double tokensPerMilli, double burstTokens) {
    ideal.updateLimits(nowMillis, account, tokensPerMilli, burstTokens);
    for (GrantChecker part : baselineBuckets.values()) {
      part.updateLimits(nowMillis, account, tokensPerMilli / instances, burstTokens / instances);
    }
  }

  /** Adds an instance to the baseline. */
  void addInstance(InstanceId instance) {
    baselineBuckets.putIfAbsent(instance, new GrantChecker());
  }

  /** Records an acquisition and returns whether the ideal bucket grants it. */
  boolean recordAcquisition(long nowMillis, InstanceId by, AccountId account, long tokens) {
    boolean idealGrants = tryGrant(ideal, nowMillis, account, tokens);
    boolean baselineGrants = tryGrant(baselineBuckets.get(by), nowMillis, account, tokens);
    if (nowMillis >= countedFromMillis) {
      acquisitions++;
      idealGranted += idealGrants ? 1 : 0;
      baselineFalseDenials += idealGrants && !baselineGrants ? 1 : 0;
    }
    return idealGrants;
  }

  void recordDenial(long nowMillis, DenialReason reason, boolean idealGranted) {
    if (idealGranted && nowMillis >= countedFromMillis) {
      falseDenials.merge(reason, 1L, Long::sum);
    }
  }

  long falseDenials() {
    return falseDenials.values().stream().mapToLong(Long::longValue).sum();
  }

  long baselineFalseDenials() {
    return baselineFalseDenials;
  }

  @Override
  public String toString() {
    return String.format(
        "acquired %d, granted by one bucket %d; false denials: share leases %d %s, fixed 1/N %d",
        acquisitions, idealGranted, falseDenials(), falseDenials, baselineFalseDenials);
  }

  private static boolean tryGrant(
      GrantChecker bucket, long nowMillis, AccountId account, long tokens) {
    if (!bucket.hasTokens(nowMillis, account, tokens)) {
      return false;
    }
    bucket.recordGrant(nowMillis, account, tokens, account);
    return true;
  }
}
