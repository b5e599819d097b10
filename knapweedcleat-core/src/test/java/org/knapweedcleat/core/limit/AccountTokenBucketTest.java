package org.knapweedcleat.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class AccountTokenBucketTest {

  private static final long IN_FLIGHT_MILLIS = 50;
  private static final double CAP_TOKENS = 100;

  @Test
  void refillsUpToCap() {
    AccountTokenBucket bucket = fullBucket();
    assertThat(bucket.take(101), is(false));
    assertThat(bucket.take(100), is(true));
    refill(bucket, 1_010, 0);
    assertThat(bucket.levelTokens(), is(closeTo(10, 1e-9)));
  }

  @Test
  void countsInFlightTokensTowardsCap() {
    AccountTokenBucket bucket = fullBucket();
    assertThat(bucket.takeInFlight(1_000, 60), is(true));
    refill(bucket, 1_040, 0);
    assertThat(bucket.levelTokens(), is(closeTo(40, 1e-9)));
    refill(bucket, 1_110, 0);
    assertThat(bucket.levelTokens(), is(closeTo(50, 1e-9)));
  }

  @Test
  void limitsDelayedRefundByPeakLevel() {
    AccountTokenBucket bucket = fullBucket();
    bucket.take(70);
    refill(bucket, 1_000, 1);
    refill(bucket, 1_000, 2);
    bucket.take(30);
    bucket.addDelayedRefund(90, CAP_TOKENS);
    assertThat(bucket.levelTokens(), is(closeTo(70, 1e-9)));
  }

  @Test
  void ignoresDelayedRefundAfterCapWasLowered() {
    AccountTokenBucket bucket = fullBucket();
    bucket.truncate(50);
    bucket.take(50);
    bucket.addDelayedRefund(10, CAP_TOKENS);
    assertThat(bucket.levelTokens(), is(0.0));
  }

  private static AccountTokenBucket fullBucket() {
    AccountTokenBucket bucket = AccountTokenBucket.of(0);
    refill(bucket, 1_000, 0);
    return bucket;
  }

  private static void refill(AccountTokenBucket bucket, long nowMillis, long period) {
    bucket.refill(nowMillis, IN_FLIGHT_MILLIS, period, 1, CAP_TOKENS);
  }
}
