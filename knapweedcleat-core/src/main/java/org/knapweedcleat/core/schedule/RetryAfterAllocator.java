package org.knapweedcleat.core.schedule;

/**
 * Tells refused callers when to come back, each a little later than the one before, so that they do
 * not all come back at once.
 */
final class RetryAfterAllocator {

  private final SchedulePolicy policy;
  private double allocatedUntilMillis;

  private RetryAfterAllocator(SchedulePolicy policy) {
    this.policy = policy;
  }

  static RetryAfterAllocator of(SchedulePolicy policy) {
    return new RetryAfterAllocator(policy);
  }

  /**
   * Books a time.
   *
   * @param now the time in milliseconds
   * @param earliestMillis the time until there is room for one more request
   * @param intervalMillis the time that the pool needs for the request
   * @return the time that the caller shall stay away
   */
  long allocate(long now, double earliestMillis, double intervalMillis) {
    double retryMillis = Math.max(allocatedUntilMillis, now + earliestMillis);
    double latestMillis = now + (double) policy.maxRetryAfterMillis();
    allocatedUntilMillis = Math.min(latestMillis, retryMillis + intervalMillis);
    return policy.clampRetryAfter(retryMillis - now);
  }
}
