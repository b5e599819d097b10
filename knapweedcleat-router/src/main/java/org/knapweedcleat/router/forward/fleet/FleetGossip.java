package org.knapweedcleat.router.forward.fleet;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.knapweedcleat.core.balance.NetworkDistance;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.UnreachableReportTracker;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.quota.FleetQuotaLimiter;
import org.knapweedcleat.router.forward.call.ForwardContext;
import org.knapweedcleat.router.forward.call.ServiceRetryBudgets;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.room.EngineFaultNotice;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.room.StreamEndedNotice;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessenger;
import org.knapweedcleat.router.peer.PeerMessageHandler;

/**
 * Tells the other instances what this one knows and does, and takes in what they tell.
 *
 * <p>Who sends to whom, see {@link FleetMembership}. In a large fleet only representatives read the
 * store; the others learn from them what is published.
 */
public final class FleetGossip implements PeerMessageHandler {

  /** An instance that does not read the store begins to when nobody tells of it for so long. */
  private static final long READER_TIMEOUT_MILLIS = 6_000;

  /** The least time between messages when one goes early because something was published. */
  private static final long MIN_SEND_INTERVAL_MILLIS = 100;

  /** The time between two looks at whether to read the store; short beside a fleet's changes. */
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
  private final LongSupplier clock;
  private final DecisionLog log;
  private final DirectorySynchronizer synchronizer;
  private final MemberReportCache reports = new MemberReportCache();
  private final UnreachableReportTracker unreachableReports = UnreachableReportTracker.create();
  private List<InetAddressPort> seeds = List.of();
  private PeerMessenger messenger;
  private long sentAtMillis = NEVER_MILLIS;
  private long sentAcrossDomainsAtMillis = NEVER_MILLIS;
  private long sentConfigVersion = -1;
  private int sentEndpointsHash;
  private long reportNumber;
  private int lastLiveCount = -1;
  private long readerCheckedAtMillis = NEVER_MILLIS;
  private boolean readsStore;

  private FleetGossip(
      FleetMember self, FleetMembership members, DomainTopology domains, ForwardContext context) {
    this.self = self;
    this.members = members;
    this.domains = domains;
    this.directory = context.directory();
    this.work = context.work();
    this.health = context.health();
    this.quota = context.quota();
    this.budgets = context.retryBudgets();
    this.rooms = context.placements();
    this.clock = context.clock();
    this.log = context.log();
    this.synchronizer = new DirectorySynchronizer(directory, log);
  }

  /**
   * Returns a link that sends nothing yet.
   *
   * @param self the own run
   * @param members keeps track of the others
   * @param domains the failure domains, seen from the own one
   * @param context what is told to others and learned from them
   * @return the link
   */
  public static FleetGossip of(
      FleetMember self, FleetMembership members, DomainTopology domains, ForwardContext context) {
    return new FleetGossip(self, members, domains, context);
  }

  /**
   * Sets what carries the messages.
   *
   * @param transport the carrier
   */
  public void messenger(PeerMessenger transport) {
    messenger = transport;
    rooms.transport(transport);
  }

  /**
   * Sets where other instances may be found at first.
   *
   * @param addresses the addresses
   */
  public void seeds(List<InetAddressPort> addresses) {
    seeds = List.copyOf(addresses);
  }

  /**
   * Tells whether this instance reads the store.
   *
   * @return false while representatives of a large fleet read for it
   */
  public boolean readsStore() {
    long nowMillis = clock.getAsLong();
    if (!directory.isLoaded() || nowMillis - readerCheckedAtMillis >= READER_CHECK_INTERVAL_MILLIS) {
      readerCheckedAtMillis = nowMillis;
      readsStore = mustRead(nowMillis);
    }
    return readsStore;
  }

  private boolean mustRead(long nowMillis) {
    return !directory.isLoaded()
        || members.isRepresentative(nowMillis)
        || directory.storeAgeMillis() > READER_TIMEOUT_MILLIS;
  }

  /** Sends news when it is time; to be called several times in each interval. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    long passedMillis = nowMillis - sentAtMillis;
    boolean early = passedMillis >= MIN_SEND_INTERVAL_MILLIS && !members.isSmall() && hasUnsentStoreChanges();
    if (passedMillis < members.intervalMillis() && !early) {
      return;
    }
    sentAtMillis = nowMillis;
    sentConfigVersion = synchronizer.configVersion();
    sentEndpointsHash = synchronizer.endpointsHash();
    members.removeExpired(nowMillis).forEach(this::removeRun);
    List<InetAddressPort> unknownSeeds = unknownSeeds();
    updateFleetSize(nowMillis, unknownSeeds.size());
    GossipMessage news = message(false, List.of(ownReport()), members.nextGossipMembers(nowMillis));
    members.directPeers().forEach(member -> send(member, news));
    unknownSeeds.forEach(seed -> messenger.send(seedAddress(seed), news));
    sendAcrossDomains(nowMillis);
  }

  /** Tells the others that this instance ends. */
  public void leave() {
    GossipMessage news = message(true, List.of(), List.of());
    members.knownMembers().forEach(member -> send(member, news));
  }

  @Override
  public void onMessage(IncarnationId from, PeerMessage message) {
    if (message instanceof GossipMessage news && news.sender().incarnation().equals(from)) {
      onGossip(from, news);
    } else if (message instanceof StreamEndedNotice ended) {
      rooms.release(from, ended.requestId());
    } else if (message instanceof EngineFaultNotice fault) {
      rooms.onFault(fault);
    }
  }

  @Override
  public Uni<PeerMessage> onRequest(IncarnationId from, PeerMessage question) {
    if (question instanceof DirectoryRequest asked) {
      return Uni.createFrom().item(synchronizer.respond(asked));
    }
    if (question instanceof StreamPlacementQuery asked) {
      return Uni.createFrom().item(rooms.place(from, asked));
    }
    return Uni.createFrom().failure(new IllegalArgumentException("not a question for " + self));
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

  /** Tells whether this instance learned from the store what others wait for. */
  private boolean hasUnsentStoreChanges() {
    return readsStore()
        && (synchronizer.configVersion() != sentConfigVersion
            || synchronizer.endpointsHash() != sentEndpointsHash);
  }

  private void sendAcrossDomains(long nowMillis) {
    if (members.isSmall()
        || !members.isRepresentative(nowMillis)
        || nowMillis - sentAcrossDomainsAtMillis < members.crossDomainIntervalMillis()) {
      return;
    }
    sentAcrossDomainsAtMillis = nowMillis;
    List<MemberReport> told = new ArrayList<>(List.of(ownReport()));
    told.addAll(reports.latestOf(nowMillis, members.liveMembers(nowMillis, self.domain())));
    GossipMessage news = message(false, told, List.of());
    members.crossDomainPeers().forEach(member -> send(member, news));
  }

  private void onGossip(IncarnationId from, GossipMessage news) {
    long nowMillis = clock.getAsLong();
    if (news.leaving()) {
      members.remove(from);
      removeRun(from);
      return;
    }
    if (!members.isKnown(news.sender())) {
      sendIntroduction(nowMillis, news.sender());
    }
    budgets.learnFleetSize(nowMillis, news.fleetSize());
    news.reports().forEach(report -> applyReport(nowMillis, report));
    members.recordMessage(nowMillis, news.sender(), news.knownMembers());
    if (news.configVersion() <= synchronizer.configVersion()
        && news.endpointsRevision() <= synchronizer.endpointsRevision()) {
      directory.recordPeerContact(news.storeAgeMillis());
    }
    applyUnreachable(nowMillis, from, news);
    boolean reads = readsStore();
    if (reads || mayRequestDirectoryFrom(nowMillis, news.sender())) {
      synchronizer.requestIfBehind(nowMillis, news, reads, PeerAddress.of(news.sender()), messenger);
    }
  }

  /** Names to a new instance those of its failure domain, with which it will exchange news. */
  private void sendIntroduction(long nowMillis, FleetMember newcomer) {
    List<FleetMember> named = new ArrayList<>(members.liveMembers(nowMillis, newcomer.domain()));
    named.addAll(members.nextGossipMembers(nowMillis));
    send(newcomer, message(false, List.of(ownReport()), named));
  }

  private void applyReport(long nowMillis, MemberReport report) {
    IncarnationId run = report.member().incarnation();
    if (run.instance().equals(self.incarnation().instance()) || !reports.add(nowMillis, report)) {
      return;
    }
    long toldAtMillis = nowMillis - report.ageMillis();
    IncarnationId before = members.recordMessage(toldAtMillis, report.member(), List.of());
    if (!before.equals(run)) {
      removeRun(before);
    }
    if (!members.isCurrent(run)) {
      return;
    }
    Map<AccountId, Long> spent = new HashMap<>();
    report.spentUnits().forEach((account, units) -> spent.put(AccountId.of(account), units));
    boolean isYounger = run.startNumber() > self.incarnation().startNumber();
    quota.recordRemoteSpending(nowMillis, run.toString(), isYounger, spent);
    Map<EndpointId, EndpointWorkload> told = new HashMap<>();
    report.work().forEach((endpoint, load) -> told.put(EndpointId.of(endpoint), load));
    work.update(run.toString(), toldAtMillis, told);
  }

  /**
   * Takes another instance's word that endpoints are out of reach, once for each time that it loses
   * one; after that the own tries decide. What another region cannot reach tells nothing here.
   */
  private void applyUnreachable(long nowMillis, IncarnationId from, GossipMessage news) {
    Set<EndpointId> told =
        news.unreachableEndpoints().stream().map(EndpointId::of).collect(Collectors.toSet());
    Set<EndpointId> lost = unreachableReports.update(from, told);
    if (domains.distanceToLocal(news.sender().domain()) != NetworkDistance.OTHER_REGION) {
      lost.forEach(endpoint -> health.get(endpoint).markReportedUnreachable(nowMillis));
    }
  }

  /** Those that do not read the store ask their own failure domain while it has live instances. */
  private boolean mayRequestDirectoryFrom(long nowMillis, FleetMember sender) {
    return sender.domain().equals(self.domain())
        || members.liveMembers(nowMillis, self.domain()).isEmpty();
  }

  private void removeRun(IncarnationId run) {
    reports.removeEnded(run);
    unreachableReports.forget(run);
    quota.forget(run.toString());
    work.forget(run.toString());
    rooms.release(run);
  }

  private MemberReport ownReport() {
    Map<String, Long> spent = new HashMap<>();
    quota.localSpending().forEach((account, units) -> spent.put(account.value(), units));
    Map<String, EndpointWorkload> own = new HashMap<>();
    work.local().forEach((endpoint, load) -> own.put(endpoint.value(), load));
    return new MemberReport(self, ++reportNumber, 0, spent, own);
  }

  private GossipMessage message(boolean ends, List<MemberReport> told, List<FleetMember> named) {
    return new GossipMessage(
        self,
        ends,
        told,
        named,
        synchronizer.configVersion(),
        synchronizer.endpointsRevision(),
        synchronizer.endpointsHash(),
        directory.storeAgeMillis(),
        health.locallyUnreachable().stream().map(EndpointId::value).toList(),
        budgets.fleetSize());
  }

  private void send(FleetMember member, GossipMessage news) {
    messenger.send(PeerAddress.of(member), member.incarnation(), news);
  }

  private static PeerAddress seedAddress(InetAddressPort seed) {
    return new PeerAddress(InstanceId.of("seed-" + seed), seed.host(), seed.port());
  }
}
