package org.knapweedcleat.router.forward.room;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointAvailability;
import org.knapweedcleat.core.balance.EndpointEligibility;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.RegionRestriction;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.room.AdmissionQueue;
import org.knapweedcleat.core.room.ServiceRanks;
import org.knapweedcleat.router.forward.coordinator.CoordinatorClient;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.peer.PeerMessenger;

/**
 * Finds and queries the placement coordinator of a region, and answers queries as coordinator.
 *
 * <p>The coordinator of a service's engines in a region is one of the region's live instances,
 * chosen by the same hash on every instance. An instance that cannot reach the coordinator places
 * streams by local knowledge.
 */
public final class PlacementExchange {

  /**
   * Reply timeout: longer than a small instance pauses while it applies a large configuration, and
   * short enough for the call to remain on time.
   */
  private static final long REPLY_TIMEOUT_MILLIS = 400;

  private final FleetMember self;
  private final FleetMembership members;
  private final CoordinatorClient coordinators;
  private final Map<FailureDomainId, RegionId> regionByDomain;
  private final RegionId ownRegion;
  private final List<RegionId> regionsOwnFirst;
  private final StreamCapacityAllocator localCoordinator;
  private final DirectoryCache directory;
  private final EndpointEligibility eligibility;
  private final LongSupplier clock;
  private final PlacementQueues queues;
  private final Map<String, AdmissionListener> listeners = new HashMap<>();
  private Optional<RoutingConfig> rankedConfig = Optional.empty();
  private ServiceRanks ranks = ServiceRanks.NONE;

  private PlacementExchange(
      FleetMember self,
      FleetMembership members,
      Map<FailureDomainId, RegionId> regionByDomain,
      StreamCapacityAllocator localCoordinator,
      DirectoryCache directory,
      EndpointAvailability notices,
      LongSupplier clock,
      DecisionLog log,
      MetricRegistry metrics) {
    this.self = self;
    this.members = members;
    this.regionByDomain = Map.copyOf(regionByDomain);
    this.ownRegion = regionByDomain.get(self.domain());
    this.regionsOwnFirst =
        Stream.concat(Stream.of(ownRegion), regionByDomain.values().stream()).distinct().toList();
    this.localCoordinator = localCoordinator;
    this.directory = directory;
    this.eligibility =
        EndpointEligibility.of(
            DomainTopology.of(self.domain(), regionByDomain),
            directory.eligibility().evacuations(),
            notices);
    this.clock = clock;
    this.coordinators =
        CoordinatorClient.of(self, members, clock, log, "room.unanswered", REPLY_TIMEOUT_MILLIS);
    this.queues = new PlacementQueues(new QueueAllocation(), log, metrics);
  }

  /**
   * Returns an exchange without a transport.
   *
   * @param self this instance
   * @param members the other instances
   * @param regionByDomain the region of each failure domain
   * @param localCoordinator places streams when this instance is the coordinator
   * @param directory the published configuration and endpoints
   * @param notices which endpoints have announced that they are leaving or want a pause
   * @param clock supplies the monotonic time in milliseconds
   * @param log records coordinators that do not reply, and decisions about queued streams
   * @param metrics counts queued streams
   * @return the exchange
   */
  public static PlacementExchange of(
      FleetMember self,
      FleetMembership members,
      Map<FailureDomainId, RegionId> regionByDomain,
      StreamCapacityAllocator localCoordinator,
      DirectoryCache directory,
      EndpointAvailability notices,
      LongSupplier clock,
      DecisionLog log,
      MetricRegistry metrics) {
    return new PlacementExchange(
        self, members, regionByDomain, localCoordinator, directory, notices, clock, log, metrics);
  }

  /**
   * Sets the transport for messages to other instances.
   *
   * @param peerTransport the transport
   */
  public void transport(PeerMessenger peerTransport) {
    coordinators.transport(peerTransport);
  }

  /**
   * Lists the regions whose coordinators may be queried, this instance's region first.
   *
   * @return the regions; none in a small fleet, whose instances learn each other's load soon enough
   */
  public List<RegionId> queryRegions() {
    return members.isSmall() ? List.of() : regionsOwnFirst;
  }

  /**
   * Returns the coordinator of a region, as far as this instance knows. Representatives, which
   * already carry other fleet duties, are chosen only if the region has no other instance.
   *
   * @param region the region
   * @param service the service
   * @return the coordinator, which may be this instance; empty if none is to be queried
   */
  public Optional<FleetMember> coordinator(RegionId region, ServiceId service) {
    return coordinators.choose(
        service.value(),
        coordinators.live(member -> region.equals(regionByDomain.get(member.domain()))));
  }

  /**
   * Returns whether the streams of a service are queued by rank.
   *
   * @param service the service
   * @return true if its routes differ in rank and the fleet has coordinators
   */
  public boolean isQueued(ServiceId service) {
    return !members.isSmall() && ranks().differ(service);
  }

  /**
   * Returns the ranks of calls in the configuration in force.
   *
   * @return the ranks
   */
  public ServiceRanks ranks() {
    Optional<RoutingConfig> config = directory.config();
    if (!config.equals(rankedConfig)) {
      rankedConfig = config;
      ranks = config.map(one -> ServiceRanks.of(one.content())).orElse(ServiceRanks.NONE);
    }
    return ranks;
  }

  /**
   * Queries a coordinator.
   *
   * @param member the coordinator
   * @param query the query
   * @return the reply; fails on a timeout
   */
  public Uni<StreamPlacementReply> ask(FleetMember member, StreamPlacementQuery query) {
    if (coordinators.isSelf(member)) {
      return Uni.createFrom().item(() -> place(self.incarnation(), query));
    }
    return coordinators.ask(member, query, StreamPlacementReply.class);
  }

  /**
   * Queries a coordinator about a stream that may be queued.
   *
   * @param member the coordinator
   * @param query the query
   * @return the reply; fails on a timeout
   */
  public Uni<StreamAdmissionReply> ask(FleetMember member, StreamAdmissionQuery query) {
    if (coordinators.isSelf(member)) {
      return Uni.createFrom().item(() -> admit(self.incarnation(), query));
    }
    return coordinators.ask(member, query, StreamAdmissionReply.class);
  }

  /**
   * Answers, as coordinator, a query about a stream that may be queued.
   *
   * @param owner the instance that carries the stream
   * @param query the query
   * @return the reply
   */
  public StreamAdmissionReply admit(IncarnationId owner, StreamAdmissionQuery query) {
    return queues.onQuery(clock.getAsLong(), owner, query);
  }

  /**
   * Registers the receiver of notices about a stream, unless the request has one already.
   *
   * @param requestId the id of the stream's request
   * @param listener receives the notices until it is removed
   */
  public void addListener(String requestId, AdmissionListener listener) {
    listeners.putIfAbsent(requestId, listener);
  }

  /**
   * Removes the receiver of notices about a stream.
   *
   * @param requestId the id of the stream's request
   * @param listener the receiver
   */
  public void removeListener(String requestId, AdmissionListener listener) {
    listeners.remove(requestId, listener);
  }

  /**
   * Passes a coordinator's notice on. Capacity that is of no use any more is released.
   *
   * @param from the coordinator
   * @param notice the notice
   */
  public void onNotice(IncarnationId from, StreamAdmissionNotice notice) {
    AdmissionListener listener = listeners.get(notice.requestId());
    boolean taken = listener != null && listener.onNotice(from, notice.reply());
    if (!taken && notice.reply().placement().hasCapacity()) {
      findMember(from).ifPresent(member -> notifyEnded(member, notice.requestId()));
    }
  }

  /** Decides about queued streams as time passes. */
  public void tick() {
    queues.tick(clock.getAsLong());
  }

  private Optional<FleetMember> findMember(IncarnationId incarnation) {
    return incarnation.equals(self.incarnation())
        ? Optional.of(self)
        : members.knownMembers().stream()
            .filter(member -> member.incarnation().equals(incarnation))
            .findFirst();
  }

  /**
   * Tells a coordinator that a stream has ended.
   *
   * @param member the coordinator
   * @param requestId the id of the stream's request
   */
  public void notifyEnded(FleetMember member, String requestId) {
    if (coordinators.isSelf(member)) {
      release(self.incarnation(), requestId);
    } else {
      coordinators.send(member, new StreamEndedNotice(requestId));
    }
  }

  /**
   * Tells a coordinator that an engine failed a stream it placed.
   *
   * @param member the coordinator
   * @param engine the engine
   * @param fault the kind of failure
   */
  public void notifyFault(FleetMember member, EndpointId engine, EngineFault fault) {
    if (!coordinators.isSelf(member)) {
      coordinators.send(member, new EngineFaultNotice(engine.value(), fault));
    }
  }

  /**
   * Tells a coordinator what this instance has observed of the speed of engines; as coordinator, it
   * uses its observations itself.
   *
   * @param member the coordinator
   * @param notice the observations
   */
  public void notifySpeeds(FleetMember member, PeerMessage notice) {
    if (!coordinators.isSelf(member)) {
      coordinators.send(member, notice);
    }
  }

  /**
   * Handles, as coordinator, a notice that an engine failed a stream.
   *
   * @param notice the engine and its fault
   */
  public void onFault(EngineFaultNotice notice) {
    localCoordinator.recordFault(clock.getAsLong(), EndpointId.of(notice.engine()), notice.fault());
  }

  /**
   * Answers a query as coordinator of this instance's region.
   *
   * @param owner the instance that carries the stream
   * @param query the query
   * @return the reply
   */
  public StreamPlacementReply place(IncarnationId owner, StreamPlacementQuery query) {
    return findPlacement(owner, query, query.usableMemoryFraction(), Set.of())
        .map(StreamPlacementReply::of)
        .orElse(StreamPlacementReply.NO_CAPACITY);
  }

  private Optional<StreamPlacement> findPlacement(
      IncarnationId owner,
      StreamPlacementQuery query,
      double usableMemoryFraction,
      Set<EndpointId> avoided) {
    long nowMillis = clock.getAsLong();
    List<EndpointEntry> candidates = candidates(nowMillis, query, avoided);
    StreamRequirements need =
        new StreamRequirements(
            query.promptTokens(),
            query.memoryTokens(),
            query.splitAllowed(),
            endpointIds(query.failedPrefillEngines()),
            usableMemoryFraction,
            false,
            query.maxGapMillis());
    return localCoordinator.place(
        nowMillis,
        owner,
        query.requestId(),
        query.remainingMillis(),
        candidates,
        endpointIds(query.triedEngines()),
        profile(ServiceId.of(query.service())),
        need);
  }

  /** Lists the engines of this region that a stream may use. */
  private List<EndpointEntry> candidates(
      long nowMillis, StreamPlacementQuery query, Set<EndpointId> avoided) {
    Set<String> unusable = Set.copyOf(query.unusableEngines());
    return regionalEngines(nowMillis, ServiceId.of(query.service()), query.requestId())
        .filter(entry -> !unusable.contains(entry.id().value()))
        .filter(entry -> !avoided.contains(entry.id()))
        .toList();
  }

  private Stream<EndpointEntry> regionalEngines(
      long nowMillis, ServiceId service, String requestId) {
    return eligibility
        .eligible(nowMillis, regionalEndpoints(service), RegionRestriction.NONE, requestId)
        .stream();
  }

  private EngineProfile profile(ServiceId service) {
    return directory
        .config()
        .flatMap(config -> config.findService(service))
        .map(ServiceProfile::engine)
        .orElse(EngineProfile.NONE);
  }

  private List<EndpointEntry> regionalEndpoints(ServiceId service) {
    return directory.endpoints().available(service).stream()
        .filter(entry -> ownRegion.equals(regionByDomain.get(entry.domain())))
        .toList();
  }

  /**
   * Releases, as coordinator, the reservation of a stream that has ended.
   *
   * @param owner the instance that carried it
   * @param requestId the id of its request
   */
  public void release(IncarnationId owner, String requestId) {
    localCoordinator.release(owner, requestId);
    queues.release(clock.getAsLong(), owner, requestId);
  }

  /**
   * Releases, as coordinator, all reservations of an instance that has ended.
   *
   * @param owner the instance
   */
  public void release(IncarnationId owner) {
    localCoordinator.release(owner);
    queues.release(owner);
    coordinators.forget(owner);
  }

  private static Set<EndpointId> endpointIds(List<String> names) {
    return names.stream().map(EndpointId::of).collect(Collectors.toSet());
  }

  /** Gives the queues access to the engines of this region and to the other instances. */
  private final class QueueAllocation implements PlacementQueues.Allocation {
    @Override
    public Optional<StreamPlacement> place(
        IncarnationId owner,
        StreamPlacementQuery query,
        double usableMemoryFraction,
        Set<EndpointId> avoided) {
      return findPlacement(owner, query, usableMemoryFraction, avoided);
    }

    @Override
    public Optional<EndpointId> leastFilled(StreamPlacementQuery query, Set<EndpointId> avoided) {
      long nowMillis = clock.getAsLong();
      return localCoordinator.leastFilled(nowMillis, candidates(nowMillis, query, avoided));
    }

    @Override
    public void updateCapacity(ServiceId service, AdmissionQueue queue) {
      long nowMillis = clock.getAsLong();
      List<EndpointEntry> engines =
          regionalEngines(nowMillis, service, "")
              .filter(entry -> entry.stage().runsRequests())
              .toList();
      queue.updateCapacity(
          engines.size(),
          profile(service).memoryTokens(),
          localCoordinator.meanSpeed(nowMillis, engines));
    }

    @Override
    public boolean isLocal(IncarnationId owner) {
      return owner.equals(self.incarnation());
    }

    @Override
    public void send(IncarnationId owner, StreamAdmissionNotice notice) {
      if (isLocal(owner)) {
        onNotice(owner, notice);
      } else {
        findMember(owner).ifPresent(member -> coordinators.send(member, notice));
      }
    }
  }
}
