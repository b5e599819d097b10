package org.knapweedcleat.core.throttle;

import java.util.OptionalDouble;

/**
 * Derives the rate of permits for a cold endpoint from what it can take.
 *
 * <p>An issuer may make up for unused time, so that in one second it permits more than its rate
 * says. The rate is that of the service, lowered if this surplus would exceed the tolerance.
 */
public final class ColdRatePolicy {

  private final double overage;
  private final double slack;

  private ColdRatePolicy(double overage, double slack) {
    this.overage = overage;
    this.slack = slack;
  }

  /**
   * Returns a policy.
   *
   * @param overage the multiple of its service's rate that an endpoint tolerates in any one second
   * @param slack the requests that it tolerates on top of that
   * @return the policy
   */
  public static ColdRatePolicy of(double overage, double slack) {
    return new ColdRatePolicy(overage, slack);
  }

  /**
   * Returns the rate of permits.
   *
   * @param coldPerSecond the requests per second that a cold endpoint of the service takes; 0 for
   *     no limit
   * @return requests per second of all instances together; empty for no limit
   */
  public OptionalDouble requestsPerSecond(double coldPerSecond) {
    if (coldPerSecond <= 0) {
      return OptionalDouble.empty();
    }
    double tolerated = coldPerSecond * overage + slack;
    // In one second: the rate, the credit for unused time, and one permit on the boundary.
    double bounded = (tolerated - 1) / (1 + PermitIssuer.MAX_CREDIT_SECONDS);
    return OptionalDouble.of(Math.max(0, Math.min(coldPerSecond, bounded)));
  }
}
