package org.knapweedcleat.core.limit;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;

/** A failure domain's share of a client account, with the token bucket of this instance. */
final class DomainAccount {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final AccountId id;
  private final int slot;
  private final AccountTokenBucket bucket;
  private double tokensPerMilli;
  private double burstTokens;
  private long inFlightMillis;
  private double nextDomainShare;
  private double domainShare;

  private DomainAccount(AccountId id, long nowMillis) {
    this.id = id;
    this.slot = AccountSlots.of(id);
    this.bucket = AccountTokenBucket.of(nowMillis);
  }

  static DomainAccount of(AccountId id, long nowMillis) {
    return new DomainAccount(id, nowMillis);
  }

  /**
   * Applies a newer specification. Rate and burst take effect immediately, the failure domain's
   * share only if it decreases.
   */
  void configure(AccountSpec spec, double nextDomainShare, LimitSettings settings) {
    double ratePerMilli = spec.rateTokensPerSecond() / MILLIS_PER_SECOND;
    tokensPerMilli = ratePerMilli * settings.refillFactor();
    inFlightMillis = settings.maxOnOtherClockMillis(settings.drawTimeoutMillis());
    burstTokens = spec.burstTokens();
    this.nextDomainShare = nextDomainShare;
    domainShare = Math.min(domainShare, nextDomainShare);
  }

  /** Applies the failure domain's share of the newest specification. */
  void confirm() {
    domainShare = nextDomainShare;
  }

  void resetDomainShare() {
    domainShare = 0;
  }

  /** Returns a failure domain's share of an account's rate and burst, from 0 to 1. */
  static double domainShareOf(
      AccountSpec spec, FailureDomainId domain, Set<FailureDomainId> allDomains) {
    Map<FailureDomainId, Integer> weights = spec.domainWeights();
    if (weights.isEmpty()) {
      return allDomains.contains(domain) ? 1.0 / allDomains.size() : 0;
    }
    Collection<Integer> values = weights.values();
    double totalWeight = values.stream().mapToDouble(Integer::doubleValue).sum();
    return totalWeight > 0 ? weights.getOrDefault(domain, 0) / totalWeight : 0;
  }

  void refill(long nowMillis, long period, double fraction) {
    bucket.refill(nowMillis, inFlightMillis, period, tokensPerMilli(fraction), capTokens(fraction));
  }

  double tokensPerMilli(double fraction) {
    return tokensPerMilli * domainShare * fraction;
  }

  double capTokens(double fraction) {
    return burstTokens * domainShare * fraction;
  }

  double accountFraction(double fraction) {
    return domainShare * fraction;
  }

  /** Returns the most tokens that one acquisition can take in this failure domain. */
  double maxTokens() {
    return burstTokens * Math.max(domainShare, nextDomainShare);
  }

  AccountId id() {
    return id;
  }

  int slot() {
    return slot;
  }

  AccountTokenBucket bucket() {
    return bucket;
  }
}
