package org.knapweedcleat.bench;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.id.AccountId;

/** Limits each client account with one token bucket, or with equal shares of it per instance. */
final class AccountRateLimiter {

  private final FleetDocument document;
  private final int shareCount;
  private final Map<BucketKey, TokenBucket> buckets = new HashMap<>();

  private AccountRateLimiter(FleetDocument document, int shareCount) {
    this.document = document;
    this.shareCount = shareCount;
  }

  /** Returns a limiter with one exact bucket per account for all instances. */
  static AccountRateLimiter fleetWide(FleetDocument document) {
    return new AccountRateLimiter(document, 1);
  }

  /** Returns a limiter that gives each instance a fixed share of the rate and burst. */
  static AccountRateLimiter fixedShares(FleetDocument document, int instanceCount) {
    return new AccountRateLimiter(document, instanceCount);
  }

  boolean tryAcquire(long nowMicros, AccountId account, int instance, long tokens) {
    return buckets
        .computeIfAbsent(new BucketKey(account, instance % shareCount), this::createBucket)
        .tryTake(nowMicros, tokens);
  }

  private TokenBucket createBucket(BucketKey key) {
    AccountSpec spec = document.accounts().get(key.account());
    return TokenBucket.of(
        (double) spec.rateTokensPerSecond() / shareCount, (double) spec.burstTokens() / shareCount);
  }

  private record BucketKey(AccountId account, int shareIndex) {}
}
