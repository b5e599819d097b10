package org.knapweedcleat.core.limit;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;

/** A client account's part in one failure domain, and the tokens that are at hand here. */
final class DomainAccount {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final AccountId id;
  private final int slot;
  private final Bucket bucket;
  private double tokensPerMilli;
  private double burstTokens;
  private long lateMillis;
  private double nextPart;
  private double part;

  private DomainAccount(AccountId id, long nowMillis) {
    this.id = id;
    this.slot = Slots.of(id);
    this.bucket = Bucket.of(nowMillis);
  }

  static DomainAccount of(AccountId id, long nowMillis) {
    return new DomainAccount(id, nowMillis);
  }

  /**
   * Takes a newer specification. Rate and burst count at once, the failure domain's part only as
   * far as it falls.
   */
  void configure(AccountSpec spec, double nextPart, LimitSettings settings) {
    double ratePerMilli = spec.rateTokensPerSecond() / MILLIS_PER_SECOND;
    tokensPerMilli = ratePerMilli * settings.earnFactor();
    lateMillis = settings.onAnyClockMillis(settings.drawTimeoutMillis());
    burstTokens = spec.burstTokens();
    this.nextPart = nextPart;
    part = Math.min(part, nextPart);
  }

  /** Uses the part of the newest specification in full. */
  void confirm() {
    part = nextPart;
  }

  void resetPart() {
    part = 0;
  }

  /** Returns the failure domain's part of an account's rate and burst, from 0 to 1. */
  static double partOf(AccountSpec spec, FailureDomainId domain, Set<FailureDomainId> all) {
    Map<FailureDomainId, Integer> weights = spec.domainWeights();
    if (weights.isEmpty()) {
      return all.contains(domain) ? 1.0 / all.size() : 0;
    }
    Collection<Integer> values = weights.values();
    double sum = values.stream().mapToDouble(Integer::doubleValue).sum();
    return sum > 0 ? weights.getOrDefault(domain, 0) / sum : 0;
  }

  void earn(long nowMillis, long period, double fraction) {
    bucket.earn(nowMillis, lateMillis, period, tokensPerMilli(fraction), capTokens(fraction));
  }

  double tokensPerMilli(double fraction) {
    return tokensPerMilli * part * fraction;
  }

  double capTokens(double fraction) {
    return burstTokens * part * fraction;
  }

  double portion(double fraction) {
    return part * fraction;
  }

  /** Returns the most tokens that can ever be taken at once here. */
  double largestTokens() {
    return burstTokens * Math.max(part, nextPart);
  }

  AccountId id() {
    return id;
  }

  int slot() {
    return slot;
  }

  Bucket bucket() {
    return bucket;
  }
}
