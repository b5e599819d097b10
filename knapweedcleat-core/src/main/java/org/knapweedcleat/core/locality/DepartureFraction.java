package org.knapweedcleat.core.locality;

/**
 * The fraction of a service's calls that may leave one home domain, with hysteresis.
 *
 * <p>The wanted fraction follows the wait of the moment, which leaving calls themselves reduce. The
 * fraction in force therefore changes in steps, and only when the smoothed wanted fraction is
 * clearly beyond the middle between two steps.
 */
final class DepartureFraction {

  /** Few enough steps that a wave of demand causes at most eight changes and log lines. */
  private static final double STEP = 0.25;

  /** More than half a step, so that a value between two steps does not switch back and forth. */
  private static final double MIN_DEVIATION = 0.18;

  /** Waits that are over within a tenth of a second or two do not change the fraction. */
  private static final double RISE_MILLIS = 400;

  /**
   * Longer than the rise, since the home domain seems idle as soon as calls leave it, and short
   * against demand that varies over some 10 s.
   */
  private static final double FALL_MILLIS = 1_500;

  /** Upper bound of the weight of one sample, so that calls that are far apart need several. */
  private static final double MAX_SAMPLE_WEIGHT = 0.5;

  private double smoothed;
  private double inForce;
  private double previousWanted;
  private long updatedAtMillis = Long.MIN_VALUE / 2;

  /**
   * Records the fraction that the current waits suggest.
   *
   * @param nowMillis the current time
   * @param wanted the fraction, 0 to 1
   * @return the fraction in force
   */
  double update(long nowMillis, double wanted) {
    double elapsedMillis = Math.max(0, nowMillis - updatedAtMillis);
    updatedAtMillis = nowMillis;
    double agreed = median(previousWanted, wanted, smoothed);
    previousWanted = wanted;
    double periodMillis = agreed > smoothed ? RISE_MILLIS : FALL_MILLIS;
    double weight = Math.min(MAX_SAMPLE_WEIGHT, 1 - Math.exp(-elapsedMillis / periodMillis));
    smoothed += weight * (agreed - smoothed);
    if (Math.abs(smoothed - inForce) >= MIN_DEVIATION) {
      inForce = Math.round(smoothed / STEP) * STEP;
    }
    return inForce;
  }

  /** Lets all calls leave from now on, without hysteresis. */
  void release(long nowMillis) {
    updatedAtMillis = nowMillis;
    smoothed = 1;
    previousWanted = 1;
    inForce = 1;
  }

  /**
   * Returns the middle one of three values, so that a single sample which is far from the one
   * before it, as after a pause without calls, has no effect.
   */
  private static double median(double first, double second, double third) {
    double smaller = Math.min(first, second);
    double larger = Math.max(first, second);
    return Math.max(smaller, Math.min(larger, third));
  }

  double inForce() {
    return inForce;
  }
}
