package org.knapweedcleat.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the sends beyond the first of each call to a share of the calls in a sliding window.
 *
 * <p>Each instance keeps to its own part of the fleet's slack, see {@link SlackShare}, so that all
 * together keep to the whole.
 */
public final class RepeatBudget {

  /** The part that is used of what operators allow; the rest covers calls that cross a window. */
  public static final double USED_PART = 0.8;

  private final double ratio;
  private final long windowMillis;
  private final Deque<Long> calls = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();
  private double slack;

  private RepeatBudget(double ratio, long windowMillis, double slack) {
    this.ratio = ratio;
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
  public static RepeatBudget of(double ratio, long windowMillis, double slack) {
    return new RepeatBudget(ratio, windowMillis, slack);
  }

  /**
   * Sets the own part of the fleet's slack.
   *
   * @param slack how many repeats are allowed besides the ratio
   */
  public void slack(double slack) {
    this.slack = slack;
  }

  /**
   * Counts a call.
   *
   * @param nowMillis the time
   */
  public void onCall(long nowMillis) {
    expire(nowMillis);
    calls.add(nowMillis);
  }

  /**
   * Takes one repeat.
   *
   * @param nowMillis the time
   * @return true if the budget had one
   */
  public boolean trySpend(long nowMillis) {
    boolean allowed = hasOne(nowMillis);
    if (allowed) {
      repeats.add(nowMillis);
    }
    return allowed;
  }

  /**
   * Gives back a repeat that no endpoint got, unless it has left the window by itself.
   *
   * @param takenAtMillis when it was taken
   */
  public void giveBack(long takenAtMillis) {
    repeats.removeLastOccurrence(takenAtMillis);
  }

  /**
   * Tells whether a repeat is left.
   *
   * @param nowMillis the time
   * @return true if one could be taken
   */
  public boolean hasOne(long nowMillis) {
    return left(nowMillis) >= 1;
  }

  /**
   * Returns what is left, for the log.
   *
   * @param nowMillis the time
   * @return repeats, below 0 after calls or slack that allowed some have gone
   */
  public double left(long nowMillis) {
    expire(nowMillis);
    return ratio * calls.size() + slack - repeats.size();
  }

  private void expire(long nowMillis) {
    long sinceMillis = nowMillis - windowMillis;
    while (!calls.isEmpty() && calls.peek() <= sinceMillis) {
      calls.poll();
    }
    while (!repeats.isEmpty() && repeats.peek() <= sinceMillis) {
      repeats.poll();
    }
  }
}
