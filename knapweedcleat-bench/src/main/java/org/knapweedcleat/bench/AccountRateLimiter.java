package org.knapweedcleat.bench;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.id.AccountId;

/** The rate and burst of each client account, divided into equal parts. */
final class AccountRateLimiter {

  private final FleetDocument document;
  private final int shareCount;
  private final Map<BucketKey, TokenBucket> buckets = new HashMap<>();

  private AccountRateLimiter(FleetDocument document, int shareCount) {
    this.document = document;
    this.shareCount = shareCount;
  }

  /** Returns limits that hold exactly over all instances together. */
  static AccountRateLimiter fleetWide(FleetDocument document) {
    return new AccountRateLimiter(document, 1);
  }

  /** Returns limits of which each instance has a fixed part. */
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
