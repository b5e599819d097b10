package org.knapweedcleat.core.limit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Counts wrongful refusals: acquisitions that one bucket for the whole fleet, asked for the same in
 * the same order, would have granted. Beside it stands a baseline for the same acquisitions, where
 * every instance has a fixed equal part of rate and burst that starts full.
 */
final class WrongfulRefusals {

  private final RateObserver ideal = new RateObserver();
  private final Map<InstanceId, RateObserver> baselineParts = new HashMap<>();
  private final Map<DenialReason, Long> wrongful = new EnumMap<>(DenialReason.class);
  private long countedFromMillis;
  private int instances = 1;
  private long asked;
  private long idealGranted;
  private long baselineWrongful;

  void instances(int count) {
    instances = count;
  }

  /** Counts only from a time on, when all instances own their shares. */
  void countFrom(long millis) {
    countedFromMillis = millis;
  }

  void limits(long nowMillis, AccountId account, double tokensPerMilli, double burstTokens) {
    ideal.limits(nowMillis, account, tokensPerMilli, burstTokens);
    for (RateObserver part : baselineParts.values()) {
      part.limits(nowMillis, account, tokensPerMilli / instances, burstTokens / instances);
    }
  }

  /** Adds an instance to the baseline. */
  void started(InstanceId instance) {
    baselineParts.putIfAbsent(instance, new RateObserver());
  }

  /** Returns whether the ideal bucket grants the tokens. */
  boolean asked(long nowMillis, InstanceId by, AccountId account, long tokens) {
    boolean idealGrants = grants(ideal, nowMillis, account, tokens);
    boolean baselineGrants = grants(baselineParts.get(by), nowMillis, account, tokens);
    if (nowMillis >= countedFromMillis) {
      asked++;
      idealGranted += idealGrants ? 1 : 0;
      baselineWrongful += idealGrants && !baselineGrants ? 1 : 0;
    }
    return idealGrants;
  }

  void denied(long nowMillis, DenialReason reason, boolean idealGranted) {
    if (idealGranted && nowMillis >= countedFromMillis) {
      wrongful.merge(reason, 1L, Long::sum);
    }
  }

  long wrongful() {
    return wrongful.values().stream().mapToLong(Long::longValue).sum();
  }

  long baselineWrongful() {
    return baselineWrongful;
  }

  @Override
  public String toString() {
    return String.format(
        "asked %d, granted by one bucket %d; wrongfully refused: share leases %d %s, fixed 1/N %d",
        asked, idealGranted, wrongful(), wrongful, baselineWrongful);
  }

  private static boolean grants(
      RateObserver bucket, long nowMillis, AccountId account, long tokens) {
    if (!bucket.had(nowMillis, account, tokens)) {
      return false;
    }
    bucket.granted(nowMillis, account, tokens, account);
    return true;
  }
}
