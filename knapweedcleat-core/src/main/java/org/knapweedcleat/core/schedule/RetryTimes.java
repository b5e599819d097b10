package org.knapweedcleat.core.schedule;

/**
 * Tells refused callers when to come back, each a little later than the one before, so that they do
 * not all come back at once.
 */
final class RetryTimes {

  private final SchedulePolicy policy;
  private double bookedUntilMillis;

  private RetryTimes(SchedulePolicy policy) {
    this.policy = policy;
  }

  static RetryTimes of(SchedulePolicy policy) {
    return new RetryTimes(policy);
  }

  /**
   * Books a time.
   *
   * @param now the time in milliseconds
   * @param earliestMillis the time until there is room for one more request
   * @param intervalMillis the time that the pool needs for the request
   * @return the time that the caller shall stay away
   */
  long book(long now, double earliestMillis, double intervalMillis) {
    double at = Math.max(bookedUntilMillis, now + earliestMillis);
    double latest = now + (double) policy.maxRetryAfterMillis();
    bookedUntilMillis = Math.min(latest, at + intervalMillis);
    return policy.clampRetryAfter(at - now);
  }
}
