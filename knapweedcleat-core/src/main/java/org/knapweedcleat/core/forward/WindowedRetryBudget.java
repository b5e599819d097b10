package org.knapweedcleat.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the sends beyond the first of each call to a share of the calls in a sliding window.
 *
 * <p>Each instance keeps to its own part of the fleet's slack, see {@link RetrySlackShare}, so that all
 * together keep to the whole.
 */
public final class WindowedRetryBudget {

  /** The part that is used of what operators allow; the rest covers calls that cross a window. */
  public static final double USED_FRACTION = 0.8;

  private final double retriesPerCall;
  private final long windowMillis;
  private final Deque<Long> callTimesMillis = new ArrayDeque<>();
  private final Deque<Long> retryTimesMillis = new ArrayDeque<>();
  private double slack;

  private WindowedRetryBudget(double ratio, long windowMillis, double slack) {
    this.retriesPerCall = ratio;
    this.windowMillis = windowMillis;
    this.slack = slack;
  }

  /**
   * Returns an unused budget.
   *
   * @param ratio how many repeats a call allows
   * @param windowMillis the length of the window
   * @param slack how many repeats are allowed besides
   * @return the budget
   */
  public static WindowedRetryBudget of(double ratio, long windowMillis, double slack) {
    return new WindowedRetryBudget(ratio, windowMillis, slack);
  }

  /**
   * Sets the own part of the fleet's slack.
   *
   * @param slack how many repeats are allowed besides the ratio
   */
  public void setSlack(double slack) {
    this.slack = slack;
  }

  /**
   * Counts a call.
   *
   * @param nowMillis the time
   */
  public void recordCall(long nowMillis) {
    expire(nowMillis);
    callTimesMillis.add(nowMillis);
  }

  /**
   * Takes one repeat.
   *
   * @param nowMillis the time
   * @return true if the budget had one
   */
  public boolean trySpend(long nowMillis) {
    boolean allowed = canSpend(nowMillis);
    if (allowed) {
      retryTimesMillis.add(nowMillis);
    }
    return allowed;
  }

  /**
   * Gives back a repeat that no endpoint got, unless it has left the window by itself.
   *
   * @param takenAtMillis when it was taken
   */
  public void refund(long takenAtMillis) {
    retryTimesMillis.removeLastOccurrence(takenAtMillis);
  }

  /**
   * Tells whether a repeat is left.
   *
   * @param nowMillis the time
   * @return true if one could be taken
   */
  public boolean canSpend(long nowMillis) {
    return remaining(nowMillis) >= 1;
  }

  /**
   * Returns what is left, for the log.
   *
   * @param nowMillis the time
   * @return repeats, below 0 after calls or slack that allowed some have gone
   */
  public double remaining(long nowMillis) {
    expire(nowMillis);
    return retriesPerCall * callTimesMillis.size() + slack - retryTimesMillis.size();
  }

  private void expire(long nowMillis) {
    long sinceMillis = nowMillis - windowMillis;
    while (!callTimesMillis.isEmpty() && callTimesMillis.peek() <= sinceMillis) {
      callTimesMillis.poll();
    }
    while (!retryTimesMillis.isEmpty() && retryTimesMillis.peek() <= sinceMillis) {
      retryTimesMillis.poll();
    }
  }
}
