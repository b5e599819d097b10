package org.knapweedcleat.core.limit;

/**
 * Timing settings of the distributed rate limiter.
 *
 * @param leaseMillis how long a home may use a pledge, measured from its request
 * @param renewMillis the interval between renewals of a pledge
 * @param drawTimeoutMillis the timeout of a draw
 * @param pauseMillis a longer gap between two calls makes the instance give up its own shares; must
 *     be less than the membership's quiet time
 * @param driftPermille the maximum clock drift of a process, in thousandths
 */
public record LimitSettings(
    long leaseMillis,
    long renewMillis,
    long drawTimeoutMillis,
    long pauseMillis,
    int driftPermille) {

  private static final int PERMILLE = 1_000;

  /** The default settings, for a few instances in each failure domain. */
  public static final LimitSettings DEFAULT = new LimitSettings(2_000, 500, 50, 3_000, 10);

  /** Validates the settings. */
  public LimitSettings {
    requirePositive(renewMillis, "renewMillis");
    requirePositive(drawTimeoutMillis, "drawTimeoutMillis");
    requirePositive(pauseMillis, "pauseMillis");
    if (leaseMillis <= renewMillis) {
      throw new IllegalArgumentException("leaseMillis must be greater than renewMillis");
    }
    if (driftPermille < 0 || driftPermille > PERMILLE / 10) {
      throw new IllegalArgumentException("driftPermille must be from 0 to 100: " + driftPermille);
    }
  }

  /**
   * Extends a duration so that it has also elapsed on another process's clock.
   *
   * @param millis a duration on one clock
   * @return the longest such duration on another clock, in milliseconds, rounded up
   */
  public long maxOnOtherClockMillis(long millis) {
    return millis + 1 + (millis * 3 * driftPermille) / PERMILLE;
  }

  /**
   * Returns how long after a change of the share owners an earlier pledge may still be in use.
   *
   * @return the duration in milliseconds
   */
  public long pledgeDrainMillis() {
    return maxOnOtherClockMillis(maxOnOtherClockMillis(leaseMillis));
  }

  /**
   * Returns the factor that reduces refill rates because the local clock may run fast.
   *
   * @return the factor, at most 1
   */
  public double refillFactor() {
    return 1.0 / (1.0 + (double) driftPermille / PERMILLE);
  }

  private static void requirePositive(long value, String name) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
