package org.knapweedcleat.core.limit;

/**
 * Times of the limiter.
 *
 * @param leaseMillis how long a home may use a pledge, from when it asked for it
 * @param renewMillis the time between two requests for the same pledge
 * @param drawTimeoutMillis how long to wait for the answer to a draw
 * @param pauseMillis a longer gap between two calls makes the instance give up its own shares; has
 *     to be below the membership's quiet time
 * @param driftPermille how far a process's clock may run fast or slow, in thousandths
 */
public record LimitSettings(
    long leaseMillis,
    long renewMillis,
    long drawTimeoutMillis,
    long pauseMillis,
    int driftPermille) {

  private static final int PERMILLE = 1_000;

  /** The settings for a handful of instances in each failure domain. */
  public static final LimitSettings DEFAULT = new LimitSettings(2_000, 500, 50, 3_000, 10);

  /** Checks the ranges. */
  public LimitSettings {
    requirePositive(renewMillis, "renewMillis");
    requirePositive(drawTimeoutMillis, "drawTimeoutMillis");
    requirePositive(pauseMillis, "pauseMillis");
    if (leaseMillis <= renewMillis) {
      throw new IllegalArgumentException("lease is not above the time between renewals");
    }
    if (driftPermille < 0 || driftPermille > PERMILLE / 10) {
      throw new IllegalArgumentException("drift is not within 0 to 100: " + driftPermille);
    }
  }

  /**
   * Lengthens a time so that it is over on another process's clock too.
   *
   * @param millis a time on one clock
   * @return the longest that it can appear on another clock, in milliseconds, rounded up
   */
  public long maxOnOtherClockMillis(long millis) {
    return millis + 1 + (millis * 3 * driftPermille) / PERMILLE;
  }

  /**
   * Returns how long after a change of the counted owners no pledge from before it is in use.
   *
   * @return the time in milliseconds
   */
  public long pledgeDrainMillis() {
    return maxOnOtherClockMillis(maxOnOtherClockMillis(leaseMillis));
  }

  /**
   * Returns how much to earn on an own clock that may run fast.
   *
   * @return the factor for rates, at most 1
   */
  public double refillFactor() {
    return 1.0 / (1.0 + (double) driftPermille / PERMILLE);
  }

  private static void requirePositive(long value, String name) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " is not positive: " + value);
    }
  }
}
