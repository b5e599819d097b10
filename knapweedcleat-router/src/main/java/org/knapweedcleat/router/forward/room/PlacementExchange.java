package org.knapweedcleat.router.forward.room;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedcleat.core.balance.EndpointNotices;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.RoomKeeper;
import org.knapweedcleat.core.balance.StreamNeed;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembers;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.membership.RendezvousHash;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.store.PublishedDirectory;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerCarrier;

/**
 * Finds the keeper of a region, asks it, and answers as keeper.
 *
 * <p>The keeper of a service's engines in a region is one of the region's live instances, chosen by
 * the same hash everywhere. Who cannot reach it places by its own knowledge.
 */
public final class PlacementExchange {

  /**
   * How long an answer is waited for: longer than a small instance stands still while it takes a
   * long configuration, and short enough for the answer to be on time.
   */
  private static final long REPLY_TIMEOUT_MILLIS = 400;

  /** How long a keeper that did not answer is not asked; its lapse as live takes as long. */
  private static final long UNRESPONSIVE_MILLIS = 2_000;

  private final FleetMember self;
  private final FleetMembers members;
  private final Map<FailureDomainId, RegionId> regionByDomain;
  private final RegionId ownRegion;
  private final List<RegionId> regionsOwnFirst;
  private final RoomKeeper localCoordinator;
  private final PublishedDirectory directory;
  private final EndpointNotices notices;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final Map<IncarnationId, Long> unresponsiveUntilMillis = new HashMap<>();
  private PeerCarrier transport;

  private PlacementExchange(
      FleetMember self,
      FleetMembers members,
      Map<FailureDomainId, RegionId> regions,
      RoomKeeper keeper,
      PublishedDirectory directory,
      EndpointNotices notices,
      LongSupplier clock,
      DecisionLog log) {
    this.self = self;
    this.members = members;
    this.regionByDomain = Map.copyOf(regions);
    this.ownRegion = regions.get(self.domain());
    this.regionsOwnFirst =
        Stream.concat(Stream.of(ownRegion), regions.values().stream()).distinct().toList();
    this.localCoordinator = keeper;
    this.directory = directory;
    this.notices = notices;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Returns an exchange that asks nobody yet.
   *
   * @param self the own run
   * @param members the other instances
   * @param regions the region of each failure domain
   * @param keeper keeps room when this instance is asked
   * @param directory what is published
   * @param notices what endpoints say of further calls
   * @param clock gives the monotonic time in milliseconds
   * @param log takes beliefs
   * @return the exchange
   */
  public static PlacementExchange of(
      FleetMember self,
      FleetMembers members,
      Map<FailureDomainId, RegionId> regions,
      RoomKeeper keeper,
      PublishedDirectory directory,
      EndpointNotices notices,
      LongSupplier clock,
      DecisionLog log) {
    return new PlacementExchange(self, members, regions, keeper, directory, notices, clock, log);
  }

  /**
   * Sets what carries the messages.
   *
   * @param transport the carrier
   */
  public void transport(PeerCarrier transport) {
    transport = transport;
  }

  /**
   * Lists the regions whose keepers may be asked, the own one first.
   *
   * @return none in a small fleet, whose instances know each other's work soon enough
   */
  public List<RegionId> queryRegions() {
    return members.isSmall() ? List.of() : regionsOwnFirst;
  }

  /**
   * Returns the keeper of a region, as far as this instance knows. Representatives have enough to
   * do and keep room only where there is nobody else.
   *
   * @param region the region
   * @param service the service
   * @return the keeper, which may be this instance; empty if none is to be asked
   */
  public Optional<FleetMember> coordinator(RegionId region, ServiceId service) {
    long nowMillis = clock.getAsLong();
    List<FleetMember> live =
        members.live(nowMillis).stream()
            .filter(member -> region.equals(regionByDomain.get(member.domain())))
            .collect(Collectors.toCollection(ArrayList::new));
    if (region.equals(ownRegion)) {
      live.add(self);
    }
    Optional<FleetMember> first = choose(service, live);
    Optional<FleetMember> free = first;
    while (free.filter(one -> members.isRepresentative(nowMillis, one)).isPresent()) {
      live.remove(free.get());
      free = choose(service, live);
    }
    return free.or(() -> first)
        .filter(one -> unresponsiveUntilMillis.getOrDefault(one.incarnation(), 0L) <= nowMillis);
  }

  private static Optional<FleetMember> choose(ServiceId service, List<FleetMember> from) {
    return RendezvousHash.choose(
        service.value(), from, member -> member.incarnation().instance().value());
  }

  /**
   * Asks a keeper.
   *
   * @param member the keeper
   * @param question the question
   * @return its answer; fails if none came in time
   */
  public Uni<StreamPlacementReply> ask(FleetMember member, StreamPlacementQuery question) {
    if (member.incarnation().equals(self.incarnation())) {
      return Uni.createFrom().item(() -> place(self.incarnation(), question));
    }
    return transport
        .ask(PeerAddress.of(member), member.incarnation(), question, REPLY_TIMEOUT_MILLIS)
        .map(StreamPlacementReply.class::cast)
        .onFailure()
        .invoke(failure -> onUnanswered(member, failure));
  }

  /**
   * Tells a keeper that a stream has ended.
   *
   * @param member the keeper
   * @param requestId the stream's request
   */
  public void notifyEnded(FleetMember member, String requestId) {
    if (member.incarnation().equals(self.incarnation())) {
      release(self.incarnation(), requestId);
    } else {
      transport.send(
          PeerAddress.of(member), member.incarnation(), new StreamEndedNotice(requestId));
    }
  }

  /**
   * Tells a keeper that an engine failed a stream which it placed.
   *
   * @param member the keeper
   * @param engine the engine
   * @param fault how it failed
   */
  public void notifyFault(FleetMember member, EndpointId engine, EngineFault fault) {
    if (!member.incarnation().equals(self.incarnation())) {
      EngineFaultNotice told = new EngineFaultNotice(engine.value(), fault);
      transport.send(PeerAddress.of(member), member.incarnation(), told);
    }
  }

  /**
   * Takes as keeper that an engine failed a stream.
   *
   * @param told how it failed
   */
  public void onFault(EngineFaultNotice told) {
    localCoordinator.failed(clock.getAsLong(), EndpointId.of(told.engine()), told.fault());
  }

  /**
   * Answers a question as keeper of the own region.
   *
   * @param holder the asker
   * @param asked the question
   * @return the answer
   */
  public StreamPlacementReply place(IncarnationId holder, StreamPlacementQuery asked) {
    long nowMillis = clock.getAsLong();
    ServiceId service = ServiceId.of(asked.service());
    Set<String> avoided = Set.copyOf(asked.unusableEngines());
    List<EndpointEntry> candidates =
        notices.open(nowMillis, directory.endpoints().usable(service)).stream()
            .filter(entry -> ownRegion.equals(regionByDomain.get(entry.domain())))
            .filter(entry -> !avoided.contains(entry.id().value()))
            .toList();
    EngineProfile profile =
        directory
            .config()
            .flatMap(config -> config.service(service))
            .map(ServiceProfile::engine)
            .orElse(EngineProfile.NONE);
    StreamNeed need =
        new StreamNeed(
            asked.promptTokens(),
            asked.memoryTokens(),
            asked.splitAllowed(),
            endpointIds(asked.failedPrefillEngines()),
            asked.usableMemoryFraction(),
            false,
            asked.maxGapMillis());
    return localCoordinator
        .place(
            nowMillis,
            holder,
            asked.requestId(),
            asked.remainingMillis(),
            candidates,
            endpointIds(asked.triedEngines()),
            profile,
            need)
        .map(
            found ->
                new StreamPlacementReply(
                    found.prefill().map(reader -> reader.id().value()).orElse(""),
                    found.decode().id().value(),
                    found.firstEventMillis()))
        .orElse(StreamPlacementReply.NO_CAPACITY);
  }

  /**
   * Takes as keeper that a stream has ended.
   *
   * @param holder the instance that carried it
   * @param requestId its request
   */
  public void release(IncarnationId holder, String requestId) {
    localCoordinator.ended(holder, requestId);
  }

  /**
   * Takes as keeper that an instance has ended.
   *
   * @param holder the instance
   */
  public void release(IncarnationId holder) {
    localCoordinator.ended(holder);
    unresponsiveUntilMillis.remove(holder);
  }

  private void onUnanswered(FleetMember member, Throwable failure) {
    unresponsiveUntilMillis.put(member.incarnation(), clock.getAsLong() + UNRESPONSIVE_MILLIS);
    log.stateChange("room.unanswered", "keeper", member.incarnation(), "why", failure.getMessage());
  }

  private static Set<EndpointId> endpointIds(List<String> names) {
    return names.stream().map(EndpointId::of).collect(Collectors.toSet());
  }
}
