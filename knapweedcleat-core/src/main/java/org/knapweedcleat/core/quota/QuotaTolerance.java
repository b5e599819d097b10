package org.knapweedcleat.core.quota;

/**
 * Tolerance by which a fleet may exceed a quota, since instances learn of each other's spending
 * with a delay.
 *
 * @param rateFactor the factor applied to the rate, at least 1
 * @param extraUnits the units allowed in addition to the burst
 * @param partitionFactor the factor applied to this instance's fraction while it sees only a part
 *     of the fleet, at least 1
 */
public record QuotaTolerance(double rateFactor, double extraUnits, double partitionFactor) {

  /** No tolerance. */
  public static final QuotaTolerance NONE = new QuotaTolerance(1, 0, 1);

  /**
   * Fraction of the configured tolerance that the buckets use. The rest covers what is spent while
   * reports are delayed, on both sides of a network partition, and again after a restart of all
   * instances.
   */
  private static final double USED_FRACTION = 0.2;

  /**
   * While other instances are unreachable, most of their callers move to this side of the
   * partition, so its fraction is raised.
   */
  private static final double PARTITION_FACTOR = 1.15;

  /**
   * Returns the tolerance that the buckets use.
   *
   * @param overage the fraction by which rate and burst may be exceeded in a window, as configured
   * @param extraUnits the units allowed in addition in a window, as configured
   * @return the tolerance
   */
  public static QuotaTolerance of(double overage, double extraUnits) {
    return new QuotaTolerance(
        1 + overage * USED_FRACTION, extraUnits * USED_FRACTION, PARTITION_FACTOR);
  }
}
