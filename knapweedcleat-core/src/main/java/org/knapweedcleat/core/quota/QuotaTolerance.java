package org.knapweedcleat.core.quota;

/**
 * By how much a fleet may exceed a quota, since its instances hear of each other's spending late.
 *
 * @param rateFactor the factor of the rate, at least 1
 * @param extraUnits what may be spent besides the burst
 * @param partitionFactor the factor of the own part while only a part of the fleet is heard, at least 1
 */
public record QuotaTolerance(double rateFactor, double extraUnits, double partitionFactor) {

  /** No tolerance. */
  public static final QuotaTolerance NONE = new QuotaTolerance(1, 0, 1);

  /**
   * The part of the operators' tolerance that the buckets use. The rest is for what is spent during
   * the delay of messages, twice on the two sides of a cut and again after a restart of all.
   */
  private static final double USED_FRACTION = 0.2;

  /** While others are silent most of their callers come here, so the part may be exceeded. */
  private static final double PARTITION_FACTOR = 1.15;

  /**
   * Returns what the buckets use of the operators' tolerance.
   *
   * @param overage the part by which rate and burst may be exceeded in a window
   * @param slackUnits what may be spent besides in a window
   * @return the tolerance
   */
  public static QuotaTolerance of(double overage, double slackUnits) {
    return new QuotaTolerance(1 + overage * USED_FRACTION, slackUnits * USED_FRACTION, PARTITION_FACTOR);
  }
}
