package org.knapweedcleat.router.forward.fleet;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.knapweedcleat.core.balance.Distance;
import org.knapweedcleat.core.balance.DomainMap;
import org.knapweedcleat.core.balance.DoubtBook;
import org.knapweedcleat.core.balance.EndpointWork;
import org.knapweedcleat.core.balance.HealthBook;
import org.knapweedcleat.core.balance.WorkBook;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembers;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.quota.FleetQuota;
import org.knapweedcleat.router.forward.call.ForwardContext;
import org.knapweedcleat.router.forward.call.ServiceBudgets;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.store.PublishedDirectory;
import org.knapweedcleat.router.forward.store.StoreWatch;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerHandler;
import org.knapweedcleat.router.peer.PeerTransport;

/** Tells the other instances what this one knows and does, and takes in what they tell. */
public final class FleetLink implements PeerHandler {

  /** How long a question for the directory may take; a configuration can be a megabyte long. */
  private static final long ASK_MILLIS = 1_000;

  /** An instance without contact to the store asks others when its list is this much behind. */
  private static final long STORE_SILENT_MILLIS = 1_500;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final FleetMember self;
  private final FleetMembers members;
  private final DomainMap domains;
  private final PublishedDirectory directory;
  private final WorkBook work;
  private final HealthBook health;
  private final FleetQuota quota;
  private final ServiceBudgets budgets;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final DoubtBook doubts = DoubtBook.create();
  private List<InetAddressPort> seeds;
  private PeerTransport transport;
  private long sentAtMillis = NEVER_MILLIS;
  private long askedAtMillis = NEVER_MILLIS;
  private int liveBefore = -1;

  private FleetLink(
      FleetMember self, FleetMembers members, DomainMap domains, ForwardContext context) {
    this.self = self;
    this.members = members;
    this.domains = domains;
    this.directory = context.directory();
    this.work = context.work();
    this.health = context.health();
    this.quota = context.quota();
    this.budgets = context.budgets();
    this.clock = context.clock();
    this.log = context.log();
    this.seeds = List.of();
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
      FleetMember self, FleetMembers members, DomainMap domains, ForwardContext context) {
    return new FleetLink(self, members, domains, context);
  }

  /**
   * Sets what carries the messages.
   *
   * @param carrier the transport
   */
  public void transport(PeerTransport carrier) {
    transport = carrier;
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
   * Begins to listen for other instances.
   *
   * @param address where
   * @return the bound port
   */
  public Future<Integer> listen(InetAddressPort address) {
    return transport.listen(address.host(), address.port());
  }

  /** Sends news when it is time; to be called several times in each interval. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    if (nowMillis - sentAtMillis < members.intervalMillis()) {
      return;
    }
    sentAtMillis = nowMillis;
    members.forget(nowMillis).forEach(this::ended);
    List<FleetMember> live = members.live(nowMillis);
    int known = members.possible().size() + 1;
    quota.fleet(live.size() + 1, known);
    budgets.fleetSize(known);
    if (live.size() != liveBefore) {
      log.belief("fleet.live", "live", live.size() + 1, "known", known);
      liveBefore = live.size();
    }
    FleetNews news = news(false, members.nextNamed(nowMillis));
    members.possible().forEach(member -> send(member, news));
    seeds.stream()
        .filter(seed -> !members.isKnown(seed.toString()))
        .forEach(seed -> transport.send(seedAddress(seed), news));
  }

  /** Tells the others that this instance ends. */
  public void leave() {
    FleetNews news = news(true, List.of());
    members.possible().forEach(member -> send(member, news));
  }

  @Override
  public void onMessage(IncarnationId from, PeerMessage message) {
    if (message instanceof FleetNews news && news.sender().incarnation().equals(from)) {
      onNews(from, news);
    }
  }

  @Override
  public Uni<PeerMessage> onQuestion(IncarnationId from, PeerMessage question) {
    if (question instanceof DirectoryQuestion asked) {
      return Uni.createFrom().item(answer(asked));
    }
    return Uni.createFrom().failure(new IllegalArgumentException("not a question for " + self));
  }

  private void onNews(IncarnationId from, FleetNews news) {
    long nowMillis = clock.getAsLong();
    if (news.ends()) {
      members.left(from);
      ended(from);
      return;
    }
    if (!members.isKnown(news.sender().address())) {
      send(news.sender(), news(false, members.nextNamed(nowMillis)));
    }
    IncarnationId before = members.heard(nowMillis, news.sender(), news.heard());
    if (!before.equals(from)) {
      ended(before);
    }
    Map<AccountId, Long> spent = new HashMap<>();
    news.spent().forEach((account, units) -> spent.put(AccountId.of(account), units));
    boolean isYounger = from.startNumber() > self.incarnation().startNumber();
    quota.heard(nowMillis, from.toString(), isYounger, spent);
    Map<EndpointId, EndpointWork> told = new HashMap<>();
    news.work().forEach((endpoint, load) -> told.put(EndpointId.of(endpoint), load));
    work.told(from.toString(), nowMillis, told);
    hearDoubts(nowMillis, from, news);
    askIfBehind(nowMillis, from, news);
  }

  /**
   * Takes another instance's word that endpoints are out of reach, once for each time that it loses
   * one; after that the own tries decide. What another region cannot reach tells nothing here.
   */
  private void hearDoubts(long nowMillis, IncarnationId from, FleetNews news) {
    Set<EndpointId> told =
        news.unreachable().stream().map(EndpointId::of).collect(Collectors.toSet());
    Set<EndpointId> lost = doubts.told(from, told);
    if (domains.toOwn(news.domain()) != Distance.OTHER_REGION) {
      lost.forEach(endpoint -> health.of(endpoint).doubted(nowMillis));
    }
  }

  private void ended(IncarnationId run) {
    doubts.ended(run);
    quota.ended(run.toString());
    work.ended(run.toString());
  }

  private void askIfBehind(long nowMillis, IncarnationId from, FleetNews news) {
    boolean config = news.configVersion() > configVersion();
    boolean endpoints =
        news.endpointsRevision() > endpointsRevision()
            && directory.storeAgeMillis() > STORE_SILENT_MILLIS + watchMillis();
    if ((!config && !endpoints) || nowMillis - askedAtMillis < ASK_MILLIS / 2) {
      return;
    }
    askedAtMillis = nowMillis;
    DirectoryQuestion question =
        new DirectoryQuestion(configVersion(), endpoints ? endpointsRevision() : Long.MAX_VALUE);
    transport
        .ask(address(news.sender()), from, question, ASK_MILLIS)
        .subscribe()
        .with(
            this::learn,
            failure -> log.belief("peer.unanswered", "peer", from, "why", failure.getMessage()));
  }

  /** A watch that waits says nothing for this long although the store is there. */
  private long watchMillis() {
    return directory.isKnown() ? StoreWatch.WAIT_MILLIS : 0;
  }

  private void learn(PeerMessage message) {
    if (message instanceof DirectoryAnswer answer) {
      answer.config().forEach(directory::learnConfig);
      if (answer.endpointsRevision() > endpointsRevision()) {
        Map<EndpointEntry, Long> entries = new LinkedHashMap<>();
        answer.endpoints().forEach(known -> entries.put(known.entry(), known.revision()));
        directory.learnEndpoints(entries, answer.endpointsRevision());
      }
    }
  }

  private DirectoryAnswer answer(DirectoryQuestion asked) {
    List<RoutingContent> config = new ArrayList<>();
    directory
        .config()
        .filter(own -> own.version() > asked.configVersion())
        .ifPresent(own -> config.add(own.content()));
    List<DirectoryAnswer.Known> endpoints = new ArrayList<>();
    if (endpointsRevision() <= asked.endpointsRevision()) {
      return new DirectoryAnswer(config, endpoints, -1);
    }
    directory
        .endpoints()
        .all()
        .forEach((entry, revision) -> endpoints.add(new DirectoryAnswer.Known(entry, revision)));
    return new DirectoryAnswer(config, endpoints, endpointsRevision());
  }

  private FleetNews news(boolean ends, List<FleetMember> live) {
    Map<String, Long> spent = new HashMap<>();
    quota.spent().forEach((account, units) -> spent.put(account.value(), units));
    List<String> unreachable = health.foundUnreachable().stream().map(EndpointId::value).toList();
    Map<String, EndpointWork> own = new HashMap<>();
    work.own().forEach((endpoint, load) -> own.put(endpoint.value(), load));
    return new FleetNews(
        self,
        domains.own(),
        ends,
        live,
        configVersion(),
        endpointsRevision(),
        spent,
        unreachable,
        own);
  }

  private long configVersion() {
    return directory.config().map(RoutingConfig::version).orElse(-1L);
  }

  private long endpointsRevision() {
    return directory.isKnown() ? directory.endpoints().revision() : -1;
  }

  private void send(FleetMember member, FleetNews news) {
    transport.send(address(member), member.incarnation(), news);
  }

  private static PeerAddress address(FleetMember member) {
    return new PeerAddress(member.incarnation().instance(), member.host(), member.port());
  }

  private static PeerAddress seedAddress(InetAddressPort seed) {
    return new PeerAddress(InstanceId.of("seed-" + seed), seed.host(), seed.port());
  }
}
