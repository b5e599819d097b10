package org.knapweedcleat.core.config;

import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;

/**
 * What one forwarding instance is told about itself when it starts.
 *
 * @param id the instance's name
 * @param domain the failure domain it stands in
 * @param callerAddress where it listens for callers
 * @param readinessAddress where it tells whether it is ready
 * @param peerAddress where it listens for other instances
 * @param metricsAddress where it serves its metrics
 * @param regions the region of each failure domain
 * @param discovery how it finds the others and the configuration
 * @param bounds what the fleet keeps to
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
    Bounds bounds) {

  /**
   * How an instance finds the others and the configuration.
   *
   * @param seeds where other instances may be found at first
   * @param storeAddress where the configuration and the endpoints are published
   * @param gossipMillis the time between messages to each other instance in a small fleet
   */
  public record Discovery(List<InetAddressPort> seeds, InetAddressPort storeAddress, int gossipMillis) {}

  /**
   * Times and budgets of the whole fleet.
   *
   * @param stopMillis how long a planned stop may take
   * @param repeatRatio repeats that each call of a service allows
   * @param repeatWindowMillis the window in which repeats are counted
   * @param repeatSlack repeats that the fleet may send besides
   * @param quotaOverage the part by which the fleet may exceed a quota's rate and burst
   * @param quotaSlackUnits what the fleet may spend of a quota besides
   * @param prefillPart the part of a service's engines that read prompts for others
   */
  public record Bounds(
      int stopMillis,
      double repeatRatio,
      int repeatWindowMillis,
      int repeatSlack,
      double quotaOverage,
      int quotaSlackUnits,
      double prefillPart) {}
}
