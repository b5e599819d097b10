package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipSettings;
import org.knapweedcleat.core.message.PeerMessage;

/** Several instances on a network that delays, loses, doubles and reorders, in simulated time. */
final class FakeFleet {

  static final LimitSettings LIMITS = LimitSettings.DEFAULT;
  static final MembershipSettings MEMBERSHIP =
      new MembershipSettings(1_000, 3_500, 2_000, 8_000, 1_000_000);

  private static final String HOST = "127.0.0.1";
  private static final long TICK_MILLIS = 20;
  private static final long MEMBERSHIP_TICK_MILLIS = 250;
  private static final long CHECK_MILLIS = 50;
  private static final long READ_MILLIS = 700;
  private static final double MAX_SLOW_CHANCE = 0.05;
  private static final double MAX_DRIFT = 0.01;

  /** Something that happens at a true time. */
  private record Event(long atMillis, long number, Runnable run) {}

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::number));
  private final FakePlatform platform = new FakePlatform();
  private final RateObserver observer = new RateObserver();
  private final WrongfulRefusals refusals = new WrongfulRefusals();
  private final List<FakeNode> nodes = new ArrayList<>();
  private final Map<InstanceId, FakeNode> current = new HashMap<>();
  private final Set<FailureDomainId> domains = new LinkedHashSet<>();
  private final Set<Set<InstanceId>> cutPairs = new HashSet<>();
  private final Set<Set<FailureDomainId>> cutDomains = new HashSet<>();
  private double lossChance = 0.001;
  private long extraDelayMillis;
  private long eventNumber;
  private long startNumber;
  private long nowMillis;

  private FakeFleet(long seed) {
    this.random = new Random(seed);
  }

  /** Returns a fleet whose instances have not started; the same seed gives the same run. */
  static FakeFleet of(long seed, int domainCount, int instancesEach, List<AccountSpec> accounts) {
    FakeFleet fleet = new FakeFleet(seed);
    fleet.platform.publish(0, accounts);
    for (int domain = 0; domain < domainCount; domain++) {
      fleet.domains.add(FailureDomainId.of("domain-" + domain));
    }
    fleet.refusals.instances(domainCount * instancesEach);
    fleet.at(0, () -> fleet.checkPortions(accounts.stream().map(AccountSpec::id).toList()));
    for (FailureDomainId domain : fleet.domains) {
      for (int i = 0; i < instancesEach; i++) {
        InstanceId id = InstanceId.of(domain + "-" + i);
        fleet.at(fleet.random.nextInt(2_000), () -> fleet.start(id, domain));
      }
    }
    return fleet;
  }

  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.run().run();
    }
  }

  void at(long atMillis, Runnable run) {
    eventNumber++;
    events.add(new Event(Math.max(nowMillis, atMillis), eventNumber, run));
  }

  void start(InstanceId id, FailureDomainId domain) {
    startNumber++;
    Member member =
        new Member(IncarnationId.of(id, startNumber), domain, HOST, (int) startNumber, false);
    double rate = 1 + MAX_DRIFT * (2 * random.nextDouble() - 1);
    FakeNode node = FakeNode.of(this, member, rate, random.nextInt(1_000_000));
    nodes.add(node);
    refusals.started(id);
    current.put(id, node);
    publishList();
    repeat(node, TICK_MILLIS, node::tickLimiter);
    repeat(node, MEMBERSHIP_TICK_MILLIS, node::tickMembership);
    repeat(node, READ_MILLIS, () -> read(node));
  }

  void kill(InstanceId id) {
    FakeNode node = current.remove(id);
    if (node != null) {
      node.end();
      publishList();
      limitsChanged();
    }
  }

  /** Stops an instance's process; the platform drops it from the list if that takes long. */
  void pause(InstanceId id, long millis) {
    FakeNode node = current.get(id);
    if (node == null || node.isPaused()) {
      return;
    }
    node.pause();
    at(nowMillis + 5_000, this::publishList);
    at(
        nowMillis + millis,
        () -> {
          node.wake();
          publishList();
        });
  }

  /** Starts a new run while the old one is paused; the old one wakes up later. */
  void replaceWhilePaused(InstanceId id, long millis) {
    FakeNode node = current.get(id);
    if (node == null || node.isPaused()) {
      return;
    }
    node.pause();
    at(nowMillis + millis, node::wake);
    at(nowMillis + 4_000, () -> start(id, node.member().domain()));
  }

  void leave(InstanceId id, long endAfterMillis) {
    FakeNode node = current.get(id);
    if (node == null) {
      return;
    }
    node.handle(node::leave);
    at(
        nowMillis + endAfterMillis,
        () -> {
          if (current.get(id) == node) {
            kill(id);
          }
        });
  }

  void cut(InstanceId one, InstanceId other, boolean cut) {
    change(cutPairs, pair(one, other), cut && !one.equals(other));
  }

  void cut(FailureDomainId one, FailureDomainId other, boolean cut) {
    change(cutDomains, pair(one, other), cut && !one.equals(other));
  }

  void network(double loss, long delayMillis) {
    lossChance = loss;
    extraDelayMillis = delayMillis;
  }

  void send(FakeNode from, IncarnationId to, PeerMessage message) {
    deliver(from, to.instance(), message, to);
  }

  void sendToInstance(FakeNode from, InstanceId to, PeerMessage message) {
    deliver(from, to, message, null);
  }

  boolean asked(IncarnationId by, AccountId account, long tokens) {
    return refusals.asked(nowMillis, by.instance(), account, tokens);
  }

  void granted(FakeNode by, LimitAction.Granted granted) {
    observer.granted(nowMillis, granted.account(), granted.tokens(), by.member().incarnation());
    if (random.nextInt(3) == 0) {
      long tokens = 1 + random.nextInt((int) granted.tokens());
      long atMillis = nowMillis + random.nextInt(1_500);
      at(atMillis, () -> by.handle(() -> by.refund(granted.account(), tokens)));
    }
  }

  void denied(LimitAction.Denied denied, boolean idealGranted) {
    refusals.denied(nowMillis, denied.reason(), idealGranted);
  }

  void refunded(AccountId account, long tokens) {
    observer.refunded(nowMillis, account, tokens);
  }

  /** Tells the observer the greatest limits that any running instance applies. */
  void limitsChanged() {
    Map<AccountId, AccountSpec> greatest = new HashMap<>();
    for (FakeNode node : nodes) {
      if (!node.isOver() && !node.revision().equals(Revision.NONE)) {
        for (AccountSpec spec : platform.document(node.revision()).accounts()) {
          greatest.merge(spec.id(), spec, FakeFleet::greater);
        }
      }
    }
    greatest.values().forEach(this::observeLimits);
  }

  List<InstanceId> running() {
    return current.keySet().stream().sorted().toList();
  }

  FakeNode node(InstanceId id) {
    return current.get(id);
  }

  List<FakeNode> nodes() {
    return nodes;
  }

  List<FailureDomainId> domains() {
    return List.copyOf(domains);
  }

  FakePlatform platform() {
    return platform;
  }

  RateObserver observer() {
    return observer;
  }

  WrongfulRefusals refusals() {
    return refusals;
  }

  long nowMillis() {
    return nowMillis;
  }

  private void checkPortions(List<AccountId> accounts) {
    for (AccountId account : accounts) {
      double sum = nodes.stream().mapToDouble(node -> node.portion(account)).sum();
      observer.portions(nowMillis, account, sum);
    }
    at(nowMillis + CHECK_MILLIS, () -> checkPortions(accounts));
  }

  private void observeLimits(AccountSpec spec) {
    double tokensPerMilli = spec.rateTokensPerSecond() / 1_000.0;
    observer.limits(nowMillis, spec.id(), tokensPerMilli, spec.burstTokens());
    refusals.limits(nowMillis, spec.id(), tokensPerMilli, spec.burstTokens());
  }

  private static AccountSpec greater(AccountSpec one, AccountSpec other) {
    return new AccountSpec(
        one.id(),
        Math.max(one.rateTokensPerSecond(), other.rateTokensPerSecond()),
        Math.max(one.burstTokens(), other.burstTokens()),
        one.weight(),
        one.domainWeights(),
        one.team());
  }

  private static <T> Set<T> pair(T one, T other) {
    return one.equals(other) ? Set.of(one) : Set.of(one, other);
  }

  private static <T> void change(Set<T> set, T element, boolean add) {
    if (add) {
      set.add(element);
    } else {
      set.remove(element);
    }
  }

  private void deliver(FakeNode from, InstanceId to, PeerMessage message, IncarnationId only) {
    int copies = random.nextInt(20) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (random.nextDouble() < lossChance) {
        continue;
      }
      long delayMillis = delayMillis();
      at(nowMillis + delayMillis, () -> arrive(from.member(), to, message, only));
    }
  }

  private void arrive(Member from, InstanceId to, PeerMessage message, IncarnationId only) {
    FakeNode node = only == null ? current.get(to) : find(only);
    if (node != null && !isCut(from, node.member())) {
      node.handle(() -> node.receive(from.incarnation(), message));
    }
  }

  private FakeNode find(IncarnationId incarnation) {
    return nodes.stream()
        .filter(node -> !node.isOver() && node.member().incarnation().equals(incarnation))
        .findFirst()
        .orElse(null);
  }

  private boolean isCut(Member one, Member other) {
    return cutDomains.contains(pair(one.domain(), other.domain()))
        || cutPairs.contains(pair(one.id(), other.id()));
  }

  /** Most messages take milliseconds, some much longer, so that others overtake them. */
  private long delayMillis() {
    long delayMillis = 1 + random.nextInt(4) + (extraDelayMillis * random.nextInt(100)) / 100;
    boolean slow = random.nextDouble() < Math.min(MAX_SLOW_CHANCE, 2 * lossChance);
    return slow ? delayMillis + random.nextInt(4_000) : delayMillis;
  }

  private void repeat(FakeNode node, long periodMillis, Runnable run) {
    at(
        nowMillis + 1 + random.nextInt((int) periodMillis),
        () -> {
          if (node.isOver()) {
            return;
          }
          if (!node.isPaused()) {
            run.run();
          }
          repeat(node, periodMillis, run);
        });
  }

  private void read(FakeNode node) {
    if (platform.isCutOff(node.member().domain())) {
      return;
    }
    long lagMillis = random.nextInt((int) FakePlatform.LIST_LAG_MILLIS);
    node.listed(platform.listAt(nowMillis, lagMillis));
    node.document(platform.documentAt(nowMillis), domains);
  }

  private void publishList() {
    List<ListedInstance> listed = new ArrayList<>();
    for (FakeNode node : current.values()) {
      if (!node.isPaused()) {
        Member member = node.member();
        listed.add(
            new ListedInstance(member.id(), member.domain(), HOST, member.peerPort(), false));
      }
    }
    platform.list(nowMillis, listed);
  }
}
