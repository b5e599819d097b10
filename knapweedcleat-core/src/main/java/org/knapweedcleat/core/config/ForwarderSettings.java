package org.knapweedcleat.core.config;

import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.intake.CallerLimits;

/**
 * Startup settings of a forwarding instance.
 *
 * @param id the name of the instance
 * @param domain the failure domain in which it runs
 * @param callerAddress the address that serves callers
 * @param readinessAddress the address that serves readiness checks
 * @param peerAddress the address that serves other instances
 * @param metricsAddress the address that serves metrics
 * @param regions the region of each failure domain
 * @param discovery how it finds other instances and the configuration
 * @param bounds fleet-wide time limits and budgets
 * @param locality when calls may leave their failure domain
 * @param callers limits on the connections of callers
 * @param listeners limits of the listeners other than that for callers
 */
public record ForwarderSettings(
    InstanceId id,
    FailureDomainId domain,
    InetAddressPort callerAddress,
    InetAddressPort readinessAddress,
    InetAddressPort peerAddress,
    InetAddressPort metricsAddress,
    Map<FailureDomainId, RegionId> regions,
    Discovery discovery,
    Bounds bounds,
    Locality locality,
    CallerLimits callers,
    ListenerSettings listeners) {

  /**
   * How an instance finds other instances and the configuration.
   *
   * @param seeds addresses of other instances to contact at startup
   * @param storeAddress the store in which configuration and endpoints are published
   * @param gossipMillis the interval between messages to each other instance in a small fleet
   */
  public record Discovery(
      List<InetAddressPort> seeds, InetAddressPort storeAddress, int gossipMillis) {}

  /**
   * Fleet-wide time limits and budgets.
   *
   * @param stopMillis the time limit of a planned stop
   * @param repeatRatio the repeats that each call of a service adds to the budget
   * @param repeatWindowMillis the length of the window in which repeats are counted
   * @param repeatSlack the repeats that the fleet may send in a window on top of the ratio
   * @param quotaOverage the fraction by which the fleet may exceed a quota's rate and burst
   * @param quotaSlackUnits the units of a quota that the fleet may spend on top of that
   * @param prefillPart the fraction of a service's engines that prefill for others
   * @param configApplyMillis the time within which a published configuration has to be in force
   * @param coldOverage the multiple of its service's cold rate that a cold endpoint tolerates in
   *     any one second
   * @param coldSlack the requests that a cold endpoint tolerates on top of that
   */
  public record Bounds(
      int stopMillis,
      double repeatRatio,
      int repeatWindowMillis,
      int repeatSlack,
      double quotaOverage,
      int quotaSlackUnits,
      double prefillPart,
      int configApplyMillis,
      double coldOverage,
      double coldSlack) {

    /** The default of {@link #coldOverage}. */
    static final double DEFAULT_COLD_OVERAGE = 1.5;

    /** The default of {@link #coldSlack}. */
    static final double DEFAULT_COLD_SLACK = 5;

    /**
     * Creates bounds with the default tolerance of cold endpoints.
     *
     * @param stopMillis the time limit of a planned stop
     * @param repeatRatio the repeats that each call of a service adds to the budget
     * @param repeatWindowMillis the length of the window in which repeats are counted
     * @param repeatSlack the repeats that the fleet may send in a window on top of the ratio
     * @param quotaOverage the fraction by which the fleet may exceed a quota's rate and burst
     * @param quotaSlackUnits the units of a quota that the fleet may spend on top of that
     * @param prefillPart the fraction of a service's engines that prefill for others
     * @param configApplyMillis the time within which a configuration has to be in force
     */
    public Bounds(
        int stopMillis,
        double repeatRatio,
        int repeatWindowMillis,
        int repeatSlack,
        double quotaOverage,
        int quotaSlackUnits,
        double prefillPart,
        int configApplyMillis) {
      this(
          stopMillis,
          repeatRatio,
          repeatWindowMillis,
          repeatSlack,
          quotaOverage,
          quotaSlackUnits,
          prefillPart,
          configApplyMillis,
          DEFAULT_COLD_OVERAGE,
          DEFAULT_COLD_SLACK);
    }
  }

  /**
   * When calls may leave their failure domain.
   *
   * @param interDomainCostMillis the wait that is accepted for keeping one call in its domain; 0 to
   *     send calls regardless of domains
   * @param interRegionKilobitsPerSecond the rate between two regions, which all instances of a
   *     region share; 0 for no limit
   */
  public record Locality(int interDomainCostMillis, int interRegionKilobitsPerSecond) {

    /** Sends calls regardless of domains. */
    public static final Locality NONE = new Locality(0, 0);

    /**
     * Returns whether calls are kept in their domain at all.
     *
     * @return true if keeping a call in its domain is worth a wait
     */
    public boolean isEnabled() {
      return interDomainCostMillis > 0;
    }
  }
}
