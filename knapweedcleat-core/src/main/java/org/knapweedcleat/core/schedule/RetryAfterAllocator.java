package org.knapweedcleat.core.schedule;

/**
 * Assigns retry times to refused callers, spaced by the pool's capacity so that they do not all
 * retry at once.
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
   * Allocates a retry time.
   *
   * @param now the time in milliseconds
   * @param earliestMillis the delay until there is capacity for one more request
   * @param intervalMillis the pool time that the request takes
   * @return the delay before the caller should retry
   */
  long allocate(long now, double earliestMillis, double intervalMillis) {
    double retryMillis = Math.max(allocatedUntilMillis, now + earliestMillis);
    double latestMillis = now + (double) policy.maxRetryAfterMillis();
    allocatedUntilMillis = Math.min(latestMillis, retryMillis + intervalMillis);
    return policy.clampRetryAfter(retryMillis - now);
  }
}
