package org.knapweedcleat.router.forward.startup;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.startup.FleetKnowledge;
import org.knapweedcleat.core.startup.ServiceCapacity;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.store.DirectoryCache;

/**
 * What an instance knows of the fleet and of its endpoints.
 *
 * @param members the other instances
 * @param fleetSize supplies the size of the fleet that another instance has told; 0 if unknown
 * @param work the known load of each endpoint
 * @param placements the allocators
 * @param directory the published configuration and endpoints
 * @param clock supplies the monotonic time in milliseconds
 */
public record StartupInputs(
    FleetMembership members,
    IntSupplier fleetSize,
    WorkloadTracker work,
    PlacementExchange placements,
    DirectoryCache directory,
    LongSupplier clock) {

  /** Up to this size, a fleet has no allocators. */
  private static final int SMALL_FLEET_SIZE = 16;

  /**
   * Returns what is known of the fleet.
   *
   * @param services the services whose allocators are needed
   * @return the knowledge
   */
  public FleetKnowledge fleet(Set<ServiceId> services) {
    long nowMillis = clock.getAsLong();
    return new FleetKnowledge(
        !members.isSmall() || fleetSize.getAsInt() > SMALL_FLEET_SIZE,
        Math.max(0, fleetSize.getAsInt() - 1),
        members.knownMembers().size(),
        members.liveMembers(nowMillis).size(),
        work.reportCount(nowMillis),
        services.stream().allMatch(this::isAllocatorReachable));
  }

  /** Returns whether the first allocator that a stream of the service asks can be asked. */
  private boolean isAllocatorReachable(ServiceId service) {
    Optional<RegionId> region = placements.queryRegions().stream().findFirst();
    return region.flatMap(one -> placements.coordinator(one, service)).isPresent();
  }

  /**
   * Returns the capacity of a service's published engines.
   *
   * @param service the service
   * @return the capacity of those that run requests
   */
  public ServiceCapacity capacity(ServiceId service) {
    List<EndpointEntry> running =
        directory.endpoints().available(service).stream()
            .filter(entry -> entry.stage().runsRequests())
            .toList();
    EngineProfile engine =
        directory
            .config()
            .flatMap(config -> config.findService(service))
            .map(ServiceProfile::engine)
            .orElse(EngineProfile.NONE);
    return ServiceCapacity.ofEngines(running.size(), engine);
  }
}
