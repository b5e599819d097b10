package org.knapweedcleat.core.room;

/** Policy for calls that find no free capacity on engines. */
public enum CapacityWaitPolicy {
  /**
   * A call that can still be on time: it may nearly fill engines, and waits only as long as it can
   * be on time.
   */
  ON_TIME(0.93, 0.45, 1),
  /**
   * A call that is already late: it leaves capacity for calls that are not, and waits longer, since
   * waiting costs it nothing more.
   */
  LATE(0.78, 1.5, 1.5);

  /** The shortest retry delay of a refused call; bursts of new calls usually last longer. */
  private static final long MIN_RETRY_AFTER_MILLIS = 2_000;

  /** Random addition to the retry delay, so that refused calls do not return all at once. */
  private static final long RETRY_AFTER_JITTER_MILLIS = 2_000;

  /** Random part of the retry delay of a call that was queued, as a fraction of that delay. */
  private static final double RETRY_SPREAD = 1;

  /** Upper bound of the retry delay, as a fraction of the caller's remaining time. */
  private static final double MAX_RETRY_AFTER_FRACTION = 1.0 / 3;

  private final double usableMemoryFraction;
  private final double waitFactor;
  private final double queueFactor;

  CapacityWaitPolicy(double usableMemoryFraction, double waitFactor, double queueFactor) {
    this.usableMemoryFraction = usableMemoryFraction;
    this.waitFactor = waitFactor;
    this.queueFactor = queueFactor;
  }

  /**
   * Returns the policy for a call.
   *
   * @param late whether the call is already late
   * @return the policy
   */
  public static CapacityWaitPolicy of(boolean late) {
    return late ? LATE : ON_TIME;
  }

  /**
   * Returns the fraction of an engine's memory that may be in use with this call.
   *
   * @return a fraction above 0 and up to 1
   */
  public double usableMemoryFraction() {
    return usableMemoryFraction;
  }

  /**
   * Returns how long the call waits for capacity.
   *
   * @param targetMillis the time within which a response is on time
   * @return milliseconds
   */
  public long waitMillis(long targetMillis) {
    return (long) (targetMillis * waitFactor);
  }

  /**
   * Returns how long the call waits in an {@link AdmissionQueue}, which asks nothing of it.
   *
   * @param targetMillis the time within which a response is on time
   * @return milliseconds
   */
  public long queueMillis(long targetMillis) {
    return (long) (targetMillis * queueFactor);
  }

  /**
   * Spreads the retry delay that an {@link AdmissionQueue} gave to a call.
   *
   * @param expectedMillis when capacity is expected for the call
   * @param remainingMillis the time that the caller has left
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   * @return milliseconds, at least 1
   */
  public static long spreadRetryMillis(long expectedMillis, long remainingMillis, double random) {
    long spreadMillis = (long) (expectedMillis * (1 + RETRY_SPREAD * random));
    return Math.max(1, Math.min(spreadMillis, (long) (remainingMillis * MAX_RETRY_AFTER_FRACTION)));
  }

  /**
   * Returns the delay after which a call refused for lack of capacity should be retried.
   *
   * @param remainingMillis the time that the caller has left
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   * @return milliseconds, at least 1
   */
  public static long retryAfterMillis(long remainingMillis, double random) {
    long jitteredMillis = (long) (MIN_RETRY_AFTER_MILLIS + RETRY_AFTER_JITTER_MILLIS * random);
    return Math.max(
        1, Math.min(jitteredMillis, (long) (remainingMillis * MAX_RETRY_AFTER_FRACTION)));
  }
}
