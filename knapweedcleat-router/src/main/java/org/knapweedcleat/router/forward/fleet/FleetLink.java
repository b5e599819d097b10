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
import org.knapweedcleat.router.forward.store.PublishedDirectory;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerCarrier;
import org.knapweedcleat.router.peer.PeerHandler;

/**
 * Tells the other instances what this one knows and does, and takes in what they tell.
 *
 * <p>Who sends to whom, see {@link FleetMembership}. In a large fleet only representatives read the
 * store; the others learn from them what is published.
 */
public final class FleetLink implements PeerHandler {

  /** An instance that does not read the store begins to when nobody tells of it for so long. */
  private static final long READERS_SILENT_MILLIS = 6_000;

  /** The least time between messages when one goes early because something was published. */
  private static final long EARLY_MILLIS = 100;

  /** The time between two looks at whether to read the store; short beside a fleet's changes. */
  private static final long JUDGE_MILLIS = 200;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final FleetMember self;
  private final FleetMembership members;
  private final DomainTopology domains;
  private final PublishedDirectory directory;
  private final WorkloadTracker work;
  private final EndpointHealthRegistry health;
  private final FleetQuotaLimiter quota;
  private final ServiceRetryBudgets budgets;
  private final PlacementExchange rooms;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final DirectoryExchange exchange;
  private final ReportBook reports = new ReportBook();
  private final UnreachableReportTracker doubts = UnreachableReportTracker.create();
  private List<InetAddressPort> seeds = List.of();
  private PeerCarrier carrier;
  private long sentAtMillis = NEVER_MILLIS;
  private long sentAcrossAtMillis = NEVER_MILLIS;
  private long toldConfigVersion = -1;
  private int toldEndpointsHash;
  private long number;
  private int liveBefore = -1;
  private long judgedAtMillis = NEVER_MILLIS;
  private boolean reads;

  private FleetLink(
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
    this.exchange = new DirectoryExchange(directory, log);
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
  public static FleetLink of(
      FleetMember self, FleetMembership members, DomainTopology domains, ForwardContext context) {
    return new FleetLink(self, members, domains, context);
  }

  /**
   * Sets what carries the messages.
   *
   * @param transport the carrier
   */
  public void carrier(PeerCarrier transport) {
    carrier = transport;
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
    if (!directory.isKnown() || nowMillis - judgedAtMillis >= JUDGE_MILLIS) {
      judgedAtMillis = nowMillis;
      reads = mustRead(nowMillis);
    }
    return reads;
  }

  private boolean mustRead(long nowMillis) {
    return !directory.isKnown()
        || members.isRepresentative(nowMillis)
        || directory.storeAgeMillis() > READERS_SILENT_MILLIS;
  }

  /** Sends news when it is time; to be called several times in each interval. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    long passedMillis = nowMillis - sentAtMillis;
    boolean early = passedMillis >= EARLY_MILLIS && !members.isSmall() && hasPublishedNews();
    if (passedMillis < members.intervalMillis() && !early) {
      return;
    }
    sentAtMillis = nowMillis;
    toldConfigVersion = exchange.configVersion();
    toldEndpointsHash = exchange.endpointsHash();
    members.removeExpired(nowMillis).forEach(this::ended);
    List<InetAddressPort> unknownSeeds = unknownSeeds();
    countFleet(nowMillis, unknownSeeds.size());
    FleetNews news = news(false, List.of(ownReport()), members.nextGossipMembers(nowMillis));
    members.directPeers().forEach(member -> send(member, news));
    unknownSeeds.forEach(seed -> carrier.send(seedAddress(seed), news));
    sendAcross(nowMillis);
  }

  /** Tells the others that this instance ends. */
  public void leave() {
    FleetNews news = news(true, List.of(), List.of());
    members.knownMembers().forEach(member -> send(member, news));
  }

  @Override
  public void onMessage(IncarnationId from, PeerMessage message) {
    if (message instanceof FleetNews news && news.sender().incarnation().equals(from)) {
      onNews(from, news);
    } else if (message instanceof StreamEndedNotice ended) {
      rooms.release(from, ended.requestId());
    } else if (message instanceof EngineFaultNotice fault) {
      rooms.onFault(fault);
    }
  }

  @Override
  public Uni<PeerMessage> onQuestion(IncarnationId from, PeerMessage question) {
    if (question instanceof DirectoryQuestion asked) {
      return Uni.createFrom().item(exchange.answer(asked));
    }
    if (question instanceof StreamPlacementQuery asked) {
      return Uni.createFrom().item(rooms.place(from, asked));
    }
    return Uni.createFrom().failure(new IllegalArgumentException("not a question for " + self));
  }

  private void countFleet(long nowMillis, int unknownSeeds) {
    int live = members.liveMembers(nowMillis).size() + 1;
    int known = members.knownMembers().size() + 1;
    quota.updateVisibility(live, known);
    budgets.updateFleet(nowMillis, known, unknownSeeds);
    if (live != liveBefore) {
      log.stateChange("fleet.live", "live", live, "known", known, "dividedBy", budgets.fleetSize());
      liveBefore = live;
    }
  }

  private List<InetAddressPort> unknownSeeds() {
    return seeds.stream().filter(seed -> !members.isKnown(seed.toString())).toList();
  }

  /** Tells whether this instance learned from the store what others wait for. */
  private boolean hasPublishedNews() {
    return readsStore()
        && (exchange.configVersion() != toldConfigVersion
            || exchange.endpointsHash() != toldEndpointsHash);
  }

  private void sendAcross(long nowMillis) {
    if (members.isSmall()
        || !members.isRepresentative(nowMillis)
        || nowMillis - sentAcrossAtMillis < members.crossDomainIntervalMillis()) {
      return;
    }
    sentAcrossAtMillis = nowMillis;
    List<MemberReport> told = new ArrayList<>(List.of(ownReport()));
    told.addAll(reports.of(nowMillis, members.liveMembers(nowMillis, self.domain())));
    FleetNews news = news(false, told, List.of());
    members.crossDomainPeers().forEach(member -> send(member, news));
  }

  private void onNews(IncarnationId from, FleetNews news) {
    long nowMillis = clock.getAsLong();
    if (news.ends()) {
      members.remove(from);
      ended(from);
      return;
    }
    if (!members.isKnown(news.sender())) {
      introduce(nowMillis, news.sender());
    }
    budgets.learnFleetSize(nowMillis, news.fleetSize());
    news.reports().forEach(report -> take(nowMillis, report));
    members.recordMessage(nowMillis, news.sender(), news.heard());
    if (news.configVersion() <= exchange.configVersion()
        && news.endpointsRevision() <= exchange.endpointsRevision()) {
      directory.heardContact(news.storeAgeMillis());
    }
    hearDoubts(nowMillis, from, news);
    boolean reads = readsStore();
    if (reads || mayAskOfOthers(nowMillis, news.sender())) {
      exchange.askIfBehind(nowMillis, news, reads, PeerAddress.of(news.sender()), carrier);
    }
  }

  /** Names to a new instance those of its failure domain, with which it will exchange news. */
  private void introduce(long nowMillis, FleetMember newcomer) {
    List<FleetMember> named = new ArrayList<>(members.liveMembers(nowMillis, newcomer.domain()));
    named.addAll(members.nextGossipMembers(nowMillis));
    send(newcomer, news(false, List.of(ownReport()), named));
  }

  private void take(long nowMillis, MemberReport report) {
    IncarnationId run = report.member().incarnation();
    if (run.instance().equals(self.incarnation().instance()) || !reports.take(nowMillis, report)) {
      return;
    }
    long toldAtMillis = nowMillis - report.ageMillis();
    IncarnationId before = members.recordMessage(toldAtMillis, report.member(), List.of());
    if (!before.equals(run)) {
      ended(before);
    }
    if (!members.isCurrent(run)) {
      return;
    }
    Map<AccountId, Long> spent = new HashMap<>();
    report.spent().forEach((account, units) -> spent.put(AccountId.of(account), units));
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
  private void hearDoubts(long nowMillis, IncarnationId from, FleetNews news) {
    Set<EndpointId> told =
        news.unreachable().stream().map(EndpointId::of).collect(Collectors.toSet());
    Set<EndpointId> lost = doubts.update(from, told);
    if (domains.distanceToLocal(news.sender().domain()) != NetworkDistance.OTHER_REGION) {
      lost.forEach(endpoint -> health.get(endpoint).markReportedUnreachable(nowMillis));
    }
  }

  /** Those that do not read the store ask their own failure domain while it has live instances. */
  private boolean mayAskOfOthers(long nowMillis, FleetMember sender) {
    return sender.domain().equals(self.domain())
        || members.liveMembers(nowMillis, self.domain()).isEmpty();
  }

  private void ended(IncarnationId run) {
    reports.ended(run);
    doubts.forget(run);
    quota.forget(run.toString());
    work.forget(run.toString());
    rooms.release(run);
  }

  private MemberReport ownReport() {
    Map<String, Long> spent = new HashMap<>();
    quota.localSpending().forEach((account, units) -> spent.put(account.value(), units));
    Map<String, EndpointWorkload> own = new HashMap<>();
    work.local().forEach((endpoint, load) -> own.put(endpoint.value(), load));
    return new MemberReport(self, ++number, 0, spent, own);
  }

  private FleetNews news(boolean ends, List<MemberReport> told, List<FleetMember> named) {
    return new FleetNews(
        self,
        ends,
        told,
        named,
        exchange.configVersion(),
        exchange.endpointsRevision(),
        exchange.endpointsHash(),
        directory.storeAgeMillis(),
        health.locallyUnreachable().stream().map(EndpointId::value).toList(),
        budgets.fleetSize());
  }

  private void send(FleetMember member, FleetNews news) {
    carrier.send(PeerAddress.of(member), member.incarnation(), news);
  }

  private static PeerAddress seedAddress(InetAddressPort seed) {
    return new PeerAddress(InstanceId.of("seed-" + seed), seed.host(), seed.port());
  }
}
