package org.knapweedcleat.core.room;

/** How calls that find no room at engines are treated. */
public enum CapacityWaitPolicy {
  /** A call that can still be on time: it may fill engines, and waits while it can be on time. */
  ON_TIME(0.93, 0.45),
  /**
   * A call that is late in any case: it leaves room for those that are not, and waits longer, since
   * the wait takes nothing from it.
   */
  LATE(0.78, 1.5);

  /** The earliest return of a refused call; a burst of new calls mostly lasts longer. */
  private static final long MIN_RETRY_AFTER_MILLIS = 2_000;

  /** The time over which returns are spread, so that they do not come together. */
  private static final long RETRY_AFTER_JITTER_MILLIS = 2_000;

  /** Callers come back at the latest after this part of the time that they have left. */
  private static final double MAX_RETRY_AFTER_FRACTION = 1.0 / 3;

  private final double usableMemoryFraction;
  private final double waitFactor;

  CapacityWaitPolicy(double usableMemory, double waitTargets) {
    this.usableMemoryFraction = usableMemory;
    this.waitFactor = waitTargets;
  }

  /**
   * Returns the policy for a call.
   *
   * @param late whether the call is late in any case
   * @return the policy
   */
  public static CapacityWaitPolicy of(boolean late) {
    return late ? LATE : ON_TIME;
  }

  /**
   * Returns the part of an engine's memory that the call may fill.
   *
   * @return over 0, up to 1
   */
  public double usableMemoryFraction() {
    return usableMemoryFraction;
  }

  /**
   * Returns how long the call waits for room.
   *
   * @param targetMillis the time within which an answer has its full value
   * @return milliseconds
   */
  public long waitMillis(long targetMillis) {
    return (long) (targetMillis * waitFactor);
  }

  /**
   * Returns when a call that was refused for want of room should come back.
   *
   * @param remainingMillis how long its caller still waits
   * @param random a number from 0 up to but not including 1
   * @return milliseconds, at least 1
   */
  public static long retryAfterMillis(long remainingMillis, double random) {
    long spread = (long) (MIN_RETRY_AFTER_MILLIS + RETRY_AFTER_JITTER_MILLIS * random);
    return Math.max(1, Math.min(spread, (long) (remainingMillis * MAX_RETRY_AFTER_FRACTION)));
  }
}
