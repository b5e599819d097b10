package org.knapweedcleat.router.forward.fleet;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.NetworkDistance;
import org.knapweedcleat.core.balance.UnreachableReportTracker;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.quota.FleetQuotaLimiter;
import org.knapweedcleat.core.throttle.EndpointRateLimits;
import org.knapweedcleat.core.throttle.LimitObservation;
import org.knapweedcleat.router.forward.call.ForwardContext;
import org.knapweedcleat.router.forward.call.ServiceRetryBudgets;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.quarantine.QuarantineExchange;
import org.knapweedcleat.router.forward.quarantine.QuarantineNotice;
import org.knapweedcleat.router.forward.room.EngineFaultNotice;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.room.StreamAdmissionNotice;
import org.knapweedcleat.router.forward.room.StreamAdmissionQuery;
import org.knapweedcleat.router.forward.room.StreamEndedNotice;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.speed.EngineSpeedExchange;
import org.knapweedcleat.router.forward.speed.EngineSpeedNotice;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.forward.throttle.LimitNotice;
import org.knapweedcleat.router.forward.throttle.LimitReport;
import org.knapweedcleat.router.forward.throttle.PermitExchange;
import org.knapweedcleat.router.forward.throttle.SendPermitQuery;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessageHandler;
import org.knapweedcleat.router.peer.PeerMessenger;

/**
 * Exchanges gossip messages with the other instances of the fleet.
 *
 * <p>{@link FleetMembership} determines the recipients. In a large fleet only representatives read
 * the store; the other instances receive published changes from them.
 */
public final class FleetGossip implements PeerMessageHandler {

  /**
   * Part of the time in which a configuration has to be in force after which an instance reads the
   * store itself, if no reader has reported on it; the rest is for the reading.
   */
  private static final double READER_TIMEOUT_RATIO = 0.8;

  /** Live peers have sent messages to each instance within this time. */
  private static final long FIRST_CONTACT_MILLIS = 2_000;

  /** Minimum time between messages, when a published change is sent before the interval ends. */
  private static final long MIN_SEND_INTERVAL_MILLIS = 100;

  /** Interval between messages on the same losses of engines, of which some may get lost. */
  private static final long QUARANTINE_REPEAT_MILLIS = 500;

  /** Interval between messages on what is in quarantine, for instances that have just started. */
  private static final long FULL_QUARANTINE_INTERVAL_MILLIS = 2_000;

  /** How often to reconsider whether to read the store; short compared to membership changes. */
  private static final long READER_CHECK_INTERVAL_MILLIS = 200;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final FleetMember self;
  private final FleetMembership members;
  private final DomainTopology domains;
  private final DirectoryCache directory;
  private final WorkloadTracker work;
  private final EndpointHealthRegistry health;
  private final FleetQuotaLimiter quota;
  private final ServiceRetryBudgets budgets;
  private final PlacementExchange rooms;
  private final EngineSpeedExchange speeds;
  private final EndpointRateLimits rateLimits;
  private final PermitExchange permits;
  private final QuarantineExchange quarantine;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final DirectorySynchronizer synchronizer;
  private final EligibilityExchange eligibility;
  private final MemberReportCache reports = new MemberReportCache();
  private final UnreachableReportTracker unreachableReports = UnreachableReportTracker.create();
  private final long readerTimeoutMillis;
  private List<InetAddressPort> seeds = List.of();
  private PeerMessenger messenger;
  private long sentAtMillis = NEVER_MILLIS;
  private long sentAcrossDomainsAtMillis = NEVER_MILLIS;
  private long sentConfigVersion = -1;
  private int sentEndpointsHash;
  private long quarantineSentAtMillis = NEVER_MILLIS;
  private long fullQuarantineSentAtMillis = NEVER_MILLIS;
  private long reportNumber;
  private int lastLiveCount = -1;
  private long readerCheckedAtMillis = NEVER_MILLIS;
  private boolean readsStore;
  private long configConfirmedAtMillis = NEVER_MILLIS;

  private FleetGossip(
      FleetMember self,
      FleetMembership members,
      DomainTopology domains,
      ForwardContext context,
      long configApplyMillis) {
    this.self = self;
    this.members = members;
    this.domains = domains;
    this.directory = context.directory();
    this.work = context.work();
    this.health = context.health();
    this.quota = context.quota();
    this.budgets = context.retryBudgets();
    this.rooms = context.placements();
    this.speeds = context.speeds();
    this.rateLimits = context.rateLimits();
    this.permits = context.permits();
    this.quarantine = context.quarantine();
    this.clock = context.clock();
    this.log = context.log();
    this.readerTimeoutMillis = Math.round(configApplyMillis * READER_TIMEOUT_RATIO);
    this.synchronizer = new DirectorySynchronizer(directory, log);
    this.eligibility = new EligibilityExchange(self, directory.eligibility());
  }

  /**
   * Creates a gossip exchange; nothing is sent until {@link #tick()} is called.
   *
   * @param self this incarnation
   * @param members tracks the other instances
   * @param domains the failure domains and their distances
   * @param context the state that is sent to others and updated from their messages
   * @param configApplyMillis the time within which a published configuration has to be in force
   * @return the gossip exchange
   */
  public static FleetGossip of(
      FleetMember self,
      FleetMembership members,
      DomainTopology domains,
      ForwardContext context,
      long configApplyMillis) {
    return new FleetGossip(self, members, domains, context, configApplyMillis);
  }

  /**
   * Sets the messenger; required before the first message.
   *
   * @param newMessenger the messenger
   */
  public void messenger(PeerMessenger newMessenger) {
    messenger = newMessenger;
    rooms.transport(newMessenger);
    permits.transport(newMessenger);
  }

  /**
   * Sets the addresses used to discover other instances.
   *
   * @param addresses the seed addresses
   */
  public void seeds(List<InetAddressPort> addresses) {
    seeds = List.copyOf(addresses);
  }

  /**
   * Returns whether no peer is expected to have a newer configuration. A store that was restored
   * from a copy may have lost the one that is in force; peers still know it.
   *
   * @return true once a peer without a newer one was heard since the start and the last restoration
   *     of the store, or none has been heard for some seconds
   */
  public boolean isComparedWithPeers() {
    long eraAgeMillis = directory.eraAgeMillis();
    return seeds.isEmpty()
        || eraAgeMillis >= FIRST_CONTACT_MILLIS
        || clock.getAsLong() - configConfirmedAtMillis < eraAgeMillis;
  }

  /**
   * Returns whether this instance reads the store.
   *
   * @return false while representatives of a large fleet read it for this instance
   */
  public boolean readsStore() {
    long nowMillis = clock.getAsLong();
    if (!directory.isLoaded()
        || nowMillis - readerCheckedAtMillis >= READER_CHECK_INTERVAL_MILLIS) {
      readerCheckedAtMillis = nowMillis;
      readsStore = mustRead(nowMillis);
    }
    return readsStore;
  }

  private boolean mustRead(long nowMillis) {
    return !directory.isLoaded()
        || members.isRepresentative(nowMillis)
        || directory.ageMillis() > readerTimeoutMillis;
  }

  /** Sends a gossip message when one is due; call several times per gossip interval. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    sendQuarantine(nowMillis);
    rooms.tick();
    speeds.tick();
    long elapsedMillis = nowMillis - sentAtMillis;
    boolean sendEarly =
        elapsedMillis >= MIN_SEND_INTERVAL_MILLIS && !members.isSmall() && hasUnsentStoreChanges();
    if (elapsedMillis < members.intervalMillis() && !sendEarly) {
      return;
    }
    sentAtMillis = nowMillis;
    sentConfigVersion = synchronizer.configVersion();
    sentEndpointsHash = synchronizer.endpointsHash();
    eligibility.markSent();
    members.removeExpired(nowMillis).forEach(this::removeIncarnation);
    List<InetAddressPort> unknownSeeds = unknownSeeds();
    updateFleetSize(nowMillis, unknownSeeds.size());
    GossipMessage gossip =
        message(false, List.of(ownReport()), members.nextGossipMembers(nowMillis));
    messenger.sendToAll(members.directPeers(), gossip);
    sendLimits(nowMillis, members.directPeers(), EnumSet.of(ObservationSource.LOCAL));
    sendEligibility(nowMillis, members.directPeers(), EnumSet.of(ObservationSource.LOCAL));
    unknownSeeds.forEach(seed -> messenger.send(seedAddress(seed), gossip));
    sendAcrossDomains(nowMillis);
  }

  /** Notifies the other instances that this one is leaving the fleet. */
  public void leave() {
    GossipMessage gossip = message(true, List.of(), List.of());
    messenger.sendToAll(members.knownMembers(), gossip);
  }

  @Override
  public void onMessage(IncarnationId from, PeerMessage message) {
    if (message instanceof GossipMessage gossip && gossip.sender().incarnation().equals(from)) {
      onGossip(from, gossip);
    } else if (message instanceof StreamEndedNotice ended) {
      rooms.release(from, ended.requestId());
    } else if (message instanceof EngineFaultNotice fault) {
      rooms.onFault(fault);
    } else if (message instanceof EngineSpeedNotice notice) {
      speeds.onNotice(from, notice);
    } else if (message instanceof StreamAdmissionNotice notice) {
      rooms.onNotice(from, notice);
    } else if (message instanceof LimitNotice limits) {
      onLimits(limits);
    } else if (message instanceof QuarantineNotice notice) {
      quarantine.onNotice(notice);
    } else if (message instanceof EligibilityNotice notice) {
      eligibility.onNotice(clock.getAsLong(), notice);
    }
  }

  @Override
  public Uni<PeerMessage> onRequest(IncarnationId from, PeerMessage request) {
    if (request instanceof DirectoryRequest directoryRequest) {
      return Uni.createFrom().item(synchronizer.respond(directoryRequest));
    }
    if (request instanceof StreamPlacementQuery roomQuestion) {
      return Uni.createFrom().item(rooms.place(from, roomQuestion));
    }
    if (request instanceof StreamAdmissionQuery query) {
      return Uni.createFrom().item(rooms.admit(from, query));
    }
    if (request instanceof SendPermitQuery permitQuery) {
      return Uni.createFrom().item(permits.issue(permitQuery));
    }
    return Uni.createFrom()
        .failure(new IllegalArgumentException("unsupported request type received by " + self));
  }

  private void updateFleetSize(long nowMillis, int unknownSeeds) {
    int live = members.liveMembers(nowMillis).size() + 1;
    int known = members.knownMembers().size() + 1;
    quota.updateVisibility(live, known);
    budgets.updateFleet(nowMillis, known, unknownSeeds);
    if (live != lastLiveCount) {
      log.stateChange("fleet.live", "live", live, "known", known, "dividedBy", budgets.fleetSize());
      lastLiveCount = live;
    }
  }

  private List<InetAddressPort> unknownSeeds() {
    return seeds.stream().filter(seed -> !members.isKnown(seed.toString())).toList();
  }

  /** Returns whether this store reader has changes that it has not sent yet. */
  private boolean hasUnsentStoreChanges() {
    return readsStore()
        && (synchronizer.configVersion() != sentConfigVersion
            || synchronizer.endpointsHash() != sentEndpointsHash
            || eligibility.hasUnsentEvacuations());
  }

  private void sendAcrossDomains(long nowMillis) {
    if (members.isSmall()
        || !members.isRepresentative(nowMillis)
        || nowMillis - sentAcrossDomainsAtMillis < members.crossDomainIntervalMillis()) {
      return;
    }
    sentAcrossDomainsAtMillis = nowMillis;
    List<MemberReport> memberReports = new ArrayList<>(List.of(ownReport()));
    memberReports.addAll(
        reports.latestOf(nowMillis, members.liveMembers(nowMillis, self.domain())));
    GossipMessage gossip = message(false, memberReports, List.of());
    messenger.sendToAll(members.crossDomainPeers(), gossip);
    sendLimits(
        nowMillis,
        members.crossDomainPeers(),
        EnumSet.of(ObservationSource.LOCAL, ObservationSource.OWN_DOMAIN));
    sendEligibility(
        nowMillis,
        members.crossDomainPeers(),
        EnumSet.of(ObservationSource.LOCAL, ObservationSource.OWN_DOMAIN));
  }

  /** Tells other instances of evacuations and cold endpoints; sends nothing if there are none. */
  private void sendEligibility(
      long nowMillis, List<FleetMember> recipients, Set<ObservationSource> sources) {
    eligibility
        .notice(nowMillis, sources)
        .ifPresent(notice -> messenger.sendToAll(recipients, notice));
  }

  /**
   * Tells other instances which limits endpoints have announced; sends nothing if there are none.
   */
  private void sendLimits(
      long nowMillis, List<FleetMember> recipients, Set<ObservationSource> sources) {
    List<LimitReport> limits =
        rateLimits.recent(nowMillis, sources).stream()
            .map(observation -> LimitReport.of(nowMillis, observation))
            .toList();
    if (!limits.isEmpty()) {
      LimitNotice notice = new LimitNotice(self, limits);
      messenger.sendToAll(recipients, notice);
    }
  }

  /** Tells other instances under which prompts engines were lost; sends nothing if none were. */
  private void sendQuarantine(long nowMillis) {
    long elapsedMillis = nowMillis - quarantineSentAtMillis;
    boolean due = elapsedMillis >= QUARANTINE_REPEAT_MILLIS;
    if (elapsedMillis < MIN_SEND_INTERVAL_MILLIS || !(due || quarantine.hasNews())) {
      return;
    }
    quarantineSentAtMillis = nowMillis;
    quarantine.markSent();
    boolean full = nowMillis - fullQuarantineSentAtMillis >= FULL_QUARANTINE_INTERVAL_MILLIS;
    if (full) {
      fullQuarantineSentAtMillis = nowMillis;
    }
    boolean isRepresentative = members.isRepresentative(nowMillis);
    Optional<QuarantineNotice> fullNotice =
        full && isRepresentative ? quarantine.fullNotice() : Optional.empty();
    sendQuarantine(
        fullNotice.or(
            () -> quarantine.recentNotice(EnumSet.of(ObservationSource.LOCAL), isRepresentative)),
        members.directPeers());
    if (isRepresentative) {
      sendQuarantine(
          fullNotice.or(
              () ->
                  quarantine.recentNotice(
                      EnumSet.of(ObservationSource.LOCAL, ObservationSource.OWN_DOMAIN), true)),
          members.crossDomainPeers());
    }
  }

  private void sendQuarantine(Optional<QuarantineNotice> notice, List<FleetMember> recipients) {
    notice.ifPresent(message -> messenger.sendToAll(recipients, message));
  }

  private void onLimits(LimitNotice notice) {
    long nowMillis = clock.getAsLong();
    ObservationSource source =
        notice.sender().domain().equals(self.domain())
            ? ObservationSource.OWN_DOMAIN
            : ObservationSource.OTHER_DOMAIN;
    for (LimitReport report : notice.reports()) {
      LimitObservation observation = report.toObservation(nowMillis, source);
      if (rateLimits.record(observation)) {
        log.limitChange(observation);
      }
    }
  }

  private void onGossip(IncarnationId from, GossipMessage gossip) {
    long nowMillis = clock.getAsLong();
    if (gossip.leaving()) {
      members.remove(from);
      removeIncarnation(from);
      return;
    }
    if (!members.isKnown(gossip.sender())) {
      sendIntroduction(nowMillis, gossip.sender());
    }
    budgets.learnFleetSize(nowMillis, gossip.fleetSize());
    gossip.reports().forEach(report -> applyReport(nowMillis, report));
    members.recordMessage(nowMillis, gossip.sender(), gossip.knownMembers());
    if (gossip.configVersion() >= 0 && synchronizer.hasConfigOf(gossip)) {
      configConfirmedAtMillis = nowMillis;
    }
    if (synchronizer.isAsNewAs(gossip)) {
      directory.recordPeerContact(gossip.storeAgeMillis());
    }
    applyUnreachable(nowMillis, from, gossip);
    boolean isReader = readsStore();
    if (isReader || mayRequestDirectoryFrom(nowMillis, gossip.sender())) {
      synchronizer.requestIfBehind(
          nowMillis, gossip, isReader, PeerAddress.of(gossip.sender()), messenger);
    }
  }

  /** Sends a new instance the members of its failure domain, with which it will gossip. */
  private void sendIntroduction(long nowMillis, FleetMember newcomer) {
    List<FleetMember> knownMembers =
        new ArrayList<>(members.liveMembers(nowMillis, newcomer.domain()));
    knownMembers.addAll(members.nextGossipMembers(nowMillis));
    send(newcomer, message(false, List.of(ownReport()), knownMembers));
  }

  private void applyReport(long nowMillis, MemberReport report) {
    IncarnationId incarnation = report.member().incarnation();
    if (incarnation.instance().equals(self.incarnation().instance())
        || !reports.add(nowMillis, report)) {
      return;
    }
    long reportedAtMillis = nowMillis - report.ageMillis();
    IncarnationId previous = members.recordMessage(reportedAtMillis, report.member(), List.of());
    if (!previous.equals(incarnation)) {
      removeIncarnation(previous);
    }
    if (!members.isCurrent(incarnation)) {
      return;
    }
    Map<AccountId, Long> spent = new HashMap<>();
    report.spentUnits().forEach((account, units) -> spent.put(AccountId.of(account), units));
    boolean isYounger = incarnation.startNumber() > self.incarnation().startNumber();
    quota.recordRemoteSpending(nowMillis, incarnation.toString(), isYounger, spent);
    Map<EndpointId, EndpointWorkload> reportedWork = new HashMap<>();
    report.work().forEach((endpoint, load) -> reportedWork.put(EndpointId.of(endpoint), load));
    work.update(incarnation.toString(), reportedAtMillis, reportedWork);
  }

  /**
   * Marks endpoints as suspect that another instance reports as newly unreachable. Each loss counts
   * once; after that, this instance's own attempts decide. Reports from other regions are ignored,
   * since their connectivity says nothing about this region's.
   */
  private void applyUnreachable(long nowMillis, IncarnationId from, GossipMessage gossip) {
    Set<EndpointId> unreachable =
        gossip.unreachableEndpoints().stream().map(EndpointId::of).collect(Collectors.toSet());
    Set<EndpointId> newlyUnreachable = unreachableReports.update(from, unreachable);
    if (domains.distanceToLocal(gossip.sender().domain()) != NetworkDistance.OTHER_REGION) {
      newlyUnreachable.forEach(endpoint -> health.get(endpoint).markReportedUnreachable(nowMillis));
    }
  }

  /** Non-readers request entries from their own failure domain while it has live instances. */
  private boolean mayRequestDirectoryFrom(long nowMillis, FleetMember sender) {
    return sender.domain().equals(self.domain())
        || members.liveMembers(nowMillis, self.domain()).isEmpty();
  }

  private void removeIncarnation(IncarnationId incarnation) {
    reports.removeEnded(incarnation);
    unreachableReports.forget(incarnation);
    quota.forget(incarnation.toString());
    work.forget(incarnation.toString());
    rooms.release(incarnation);
    speeds.forget(incarnation);
    permits.forget(incarnation);
  }

  private MemberReport ownReport() {
    Map<String, Long> spent = new HashMap<>();
    quota.localSpending().forEach((account, units) -> spent.put(account.value(), units));
    Map<String, EndpointWorkload> ownWork = new HashMap<>();
    work.local().forEach((endpoint, load) -> ownWork.put(endpoint.value(), load));
    return new MemberReport(self, ++reportNumber, 0, spent, ownWork);
  }

  private GossipMessage message(
      boolean leaving, List<MemberReport> memberReports, List<FleetMember> knownMembers) {
    return new GossipMessage(
        self,
        leaving,
        memberReports,
        knownMembers,
        synchronizer.configVersion(),
        synchronizer.endpointsPosition().toLong(),
        synchronizer.endpointsHash(),
        directory.ageMillis(),
        health.locallyUnreachable().stream().map(EndpointId::value).toList(),
        budgets.fleetSize());
  }

  private void send(FleetMember member, GossipMessage gossip) {
    messenger.send(PeerAddress.of(member), member.incarnation(), gossip);
  }

  private static PeerAddress seedAddress(InetAddressPort seed) {
    return new PeerAddress(InstanceId.of("seed-" + seed), seed.host(), seed.port());
  }
}
