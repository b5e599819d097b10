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
   * Takes a newer specification. Rate and burst count at once, the failure domain's part only as
   * far as it falls.
   */
  void configure(AccountSpec spec, double nextDomainShare, LimitSettings settings) {
    double ratePerMilli = spec.rateTokensPerSecond() / MILLIS_PER_SECOND;
    tokensPerMilli = ratePerMilli * settings.refillFactor();
    inFlightMillis = settings.maxOnOtherClockMillis(settings.drawTimeoutMillis());
    burstTokens = spec.burstTokens();
    this.nextDomainShare = nextDomainShare;
    domainShare = Math.min(domainShare, nextDomainShare);
  }

  /** Uses the part of the newest specification in full. */
  void confirm() {
    domainShare = nextDomainShare;
  }

  void resetDomainShare() {
    domainShare = 0;
  }

  /** Returns the failure domain's part of an account's rate and burst, from 0 to 1. */
  static double domainShareOf(AccountSpec spec, FailureDomainId domain, Set<FailureDomainId> allDomains) {
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

  /** Returns the most tokens that can ever be taken at once here. */
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
