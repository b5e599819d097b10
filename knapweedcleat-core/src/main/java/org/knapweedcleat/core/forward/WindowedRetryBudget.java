package org.knapweedcleat.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits retries to a fixed number plus a ratio of the calls, both in a sliding window.
 *
 * <p>The fixed number, called slack, is shared by the fleet: each instance uses only its {@link
 * RetrySlackShare}, so that the fleet as a whole stays within the limit.
 */
public final class WindowedRetryBudget {

  /** Fraction used of the configured limit; the rest covers calls that span two windows. */
  public static final double USED_FRACTION = 0.8;

  private final double retriesPerCall;
  private final long windowMillis;
  private final Deque<Long> callTimesMillis = new ArrayDeque<>();
  private final Deque<Long> retryTimesMillis = new ArrayDeque<>();
  private double slack;

  private WindowedRetryBudget(double retriesPerCall, long windowMillis, double slack) {
    this.retriesPerCall = retriesPerCall;
    this.windowMillis = windowMillis;
    this.slack = slack;
  }

  /**
   * Returns an unused budget.
   *
   * @param retriesPerCall the number of retries allowed per call
   * @param windowMillis the length of the window
   * @param slack the number of retries allowed in addition
   * @return the budget
   */
  public static WindowedRetryBudget of(double retriesPerCall, long windowMillis, double slack) {
    return new WindowedRetryBudget(retriesPerCall, windowMillis, slack);
  }

  /**
   * Sets the share of the fleet's slack.
   *
   * @param slack the number of retries allowed in addition to the ratio
   */
  public void setSlack(double slack) {
    this.slack = slack;
  }

  /**
   * Records a call.
   *
   * @param nowMillis the current time
   */
  public void recordCall(long nowMillis) {
    expire(nowMillis);
    callTimesMillis.add(nowMillis);
  }

  /**
   * Spends one retry if the budget allows it.
   *
   * @param nowMillis the current time
   * @return true if a retry was spent
   */
  public boolean trySpend(long nowMillis) {
    boolean allowed = canSpend(nowMillis);
    if (allowed) {
      retryTimesMillis.add(nowMillis);
    }
    return allowed;
  }

  /**
   * Refunds a retry that was not sent, unless it is no longer in the window.
   *
   * @param spentAtMillis the time at which it was spent
   */
  public void refund(long spentAtMillis) {
    retryTimesMillis.removeLastOccurrence(spentAtMillis);
  }

  /**
   * Returns whether a retry can be spent.
   *
   * @param nowMillis the current time
   * @return true if at least one retry remains
   */
  public boolean canSpend(long nowMillis) {
    return remaining(nowMillis) >= 1;
  }

  /**
   * Returns the remaining budget, for logging.
   *
   * @param nowMillis the current time
   * @return the number of retries; negative if the calls left the window or the slack shrank after
   *     retries were spent
   */
  public double remaining(long nowMillis) {
    expire(nowMillis);
    return retriesPerCall * callTimesMillis.size() + slack - retryTimesMillis.size();
  }

  private void expire(long nowMillis) {
    long windowStartMillis = nowMillis - windowMillis;
    while (!callTimesMillis.isEmpty() && callTimesMillis.peek() <= windowStartMillis) {
      callTimesMillis.poll();
    }
    while (!retryTimesMillis.isEmpty() && retryTimesMillis.peek() <= windowStartMillis) {
      retryTimesMillis.poll();
    }
  }
}
