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
public final class RoomExchange {

  /**
   * How long an answer is waited for: longer than a small instance stands still while it takes a
   * long configuration, and short enough for the answer to be on time.
   */
  private static final long ASK_MILLIS = 400;

  /** How long a keeper that did not answer is not asked; its lapse as live takes as long. */
  private static final long SILENT_MILLIS = 2_000;

  private final FleetMember self;
  private final FleetMembers members;
  private final Map<FailureDomainId, RegionId> regions;
  private final RegionId own;
  private final List<RegionId> ownFirst;
  private final RoomKeeper keeper;
  private final PublishedDirectory directory;
  private final EndpointNotices notices;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final Map<IncarnationId, Long> silentUntilMillis = new HashMap<>();
  private PeerCarrier carrier;

  private RoomExchange(
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
    this.regions = Map.copyOf(regions);
    this.own = regions.get(self.domain());
    this.ownFirst = Stream.concat(Stream.of(own), regions.values().stream()).distinct().toList();
    this.keeper = keeper;
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
  public static RoomExchange of(
      FleetMember self,
      FleetMembers members,
      Map<FailureDomainId, RegionId> regions,
      RoomKeeper keeper,
      PublishedDirectory directory,
      EndpointNotices notices,
      LongSupplier clock,
      DecisionLog log) {
    return new RoomExchange(self, members, regions, keeper, directory, notices, clock, log);
  }

  /**
   * Sets what carries the messages.
   *
   * @param transport the carrier
   */
  public void carrier(PeerCarrier transport) {
    carrier = transport;
  }

  /**
   * Lists the regions whose keepers may be asked, the own one first.
   *
   * @return none in a small fleet, whose instances know each other's work soon enough
   */
  public List<RegionId> regions() {
    return members.isSmall() ? List.of() : ownFirst;
  }

  /**
   * Returns the keeper of a region, as far as this instance knows. Representatives have enough to
   * do and keep room only where there is nobody else.
   *
   * @param region the region
   * @param service the service
   * @return the keeper, which may be this instance; empty if none is to be asked
   */
  public Optional<FleetMember> keeper(RegionId region, ServiceId service) {
    long nowMillis = clock.getAsLong();
    List<FleetMember> live =
        members.live(nowMillis).stream()
            .filter(member -> region.equals(regions.get(member.domain())))
            .collect(Collectors.toCollection(ArrayList::new));
    if (region.equals(own)) {
      live.add(self);
    }
    Optional<FleetMember> first = choose(service, live);
    Optional<FleetMember> free = first;
    while (free.filter(one -> members.isRepresentative(nowMillis, one)).isPresent()) {
      live.remove(free.get());
      free = choose(service, live);
    }
    return free.or(() -> first)
        .filter(one -> silentUntilMillis.getOrDefault(one.incarnation(), 0L) <= nowMillis);
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
  public Uni<RoomAnswer> ask(FleetMember member, RoomQuestion question) {
    if (member.incarnation().equals(self.incarnation())) {
      return Uni.createFrom().item(() -> answer(self.incarnation(), question));
    }
    return carrier
        .ask(PeerAddress.of(member), member.incarnation(), question, ASK_MILLIS)
        .map(RoomAnswer.class::cast)
        .onFailure()
        .invoke(failure -> silent(member, failure));
  }

  /**
   * Tells a keeper that a stream has ended.
   *
   * @param member the keeper
   * @param requestId the stream's request
   */
  public void tellEnded(FleetMember member, String requestId) {
    if (member.incarnation().equals(self.incarnation())) {
      ended(self.incarnation(), requestId);
    } else {
      carrier.send(PeerAddress.of(member), member.incarnation(), new RoomEnded(requestId));
    }
  }

  /**
   * Tells a keeper that an engine failed a stream which it placed.
   *
   * @param member the keeper
   * @param engine the engine
   * @param fault how it failed
   */
  public void tellFault(FleetMember member, EndpointId engine, EngineFault fault) {
    if (!member.incarnation().equals(self.incarnation())) {
      RoomFault told = new RoomFault(engine.value(), fault);
      carrier.send(PeerAddress.of(member), member.incarnation(), told);
    }
  }

  /**
   * Takes as keeper that an engine failed a stream.
   *
   * @param told how it failed
   */
  public void failed(RoomFault told) {
    keeper.failed(clock.getAsLong(), EndpointId.of(told.engine()), told.fault());
  }

  /**
   * Answers a question as keeper of the own region.
   *
   * @param holder the asker
   * @param asked the question
   * @return the answer
   */
  public RoomAnswer answer(IncarnationId holder, RoomQuestion asked) {
    long nowMillis = clock.getAsLong();
    ServiceId service = ServiceId.of(asked.service());
    Set<String> avoided = Set.copyOf(asked.avoided());
    List<EndpointEntry> candidates =
        notices.open(nowMillis, directory.endpoints().usable(service)).stream()
            .filter(entry -> own.equals(regions.get(entry.domain())))
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
            asked.split(),
            ids(asked.failedReaders()),
            asked.usableMemory(),
            false,
            asked.maxGapMillis());
    return keeper
        .place(
            nowMillis,
            holder,
            asked.requestId(),
            asked.remainingMillis(),
            candidates,
            ids(asked.tried()),
            profile,
            need)
        .map(
            found ->
                new RoomAnswer(
                    found.prefill().map(reader -> reader.id().value()).orElse(""),
                    found.decode().id().value(),
                    found.firstEventMillis()))
        .orElse(RoomAnswer.NO_ROOM);
  }

  /**
   * Takes as keeper that a stream has ended.
   *
   * @param holder the instance that carried it
   * @param requestId its request
   */
  public void ended(IncarnationId holder, String requestId) {
    keeper.ended(holder, requestId);
  }

  /**
   * Takes as keeper that an instance has ended.
   *
   * @param holder the instance
   */
  public void ended(IncarnationId holder) {
    keeper.ended(holder);
    silentUntilMillis.remove(holder);
  }

  private void silent(FleetMember member, Throwable failure) {
    silentUntilMillis.put(member.incarnation(), clock.getAsLong() + SILENT_MILLIS);
    log.belief("room.unanswered", "keeper", member.incarnation(), "why", failure.getMessage());
  }

  private static Set<EndpointId> ids(List<String> names) {
    return names.stream().map(EndpointId::of).collect(Collectors.toSet());
  }
}
