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

/** Simulates instances on a network that delays, loses, duplicates and reorders messages. */
final class SimulatedFleet {

  static final LimitSettings LIMITS = LimitSettings.DEFAULT;
  static final MembershipSettings MEMBERSHIP =
      new MembershipSettings(1_000, 3_500, 2_000, 8_000, 1_000_000);

  private static final String HOST = "127.0.0.1";
  private static final long TICK_MILLIS = 20;
  private static final long MEMBERSHIP_TICK_MILLIS = 250;
  private static final long CHECK_MILLIS = 50;
  private static final long PLATFORM_READ_MILLIS = 700;
  private static final double MAX_SLOW_PROBABILITY = 0.05;
  private static final double MAX_DRIFT = 0.01;

  /** An event at a time of the simulation clock. */
  private record Event(long atMillis, long number, Runnable run) {}

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::number));
  private final SimulatedPlatform platform = new SimulatedPlatform();
  private final GrantChecker grantChecker = new GrantChecker();
  private final FalseDenialCounter falseDenials = new FalseDenialCounter();
  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final Map<InstanceId, SimulatedInstance> currentInstances = new HashMap<>();
  private final Set<FailureDomainId> domains = new LinkedHashSet<>();
  private final Set<Set<InstanceId>> partitionedInstances = new HashSet<>();
  private final Set<Set<FailureDomainId>> partitionedDomains = new HashSet<>();
  private double lossProbability = 0.001;
  private long extraDelayMillis;
  private long eventNumber;
  private long startNumber;
  private long nowMillis;

  private SimulatedFleet(long seed) {
    this.random = new Random(seed);
  }

  /** Returns a fleet whose instances start at random times; runs are determined by the seed. */
  static SimulatedFleet of(
      long seed, int domainCount, int instancesEach, List<AccountSpec> accounts) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    fleet.platform.publishDocument(0, accounts);
    for (int domain = 0; domain < domainCount; domain++) {
      fleet.domains.add(FailureDomainId.of("domain-" + domain));
    }
    fleet.falseDenials.setInstances(domainCount * instancesEach);
    fleet.schedule(0, () -> fleet.checkFractions(accounts.stream().map(AccountSpec::id).toList()));
    for (FailureDomainId domain : fleet.domains) {
      for (int i = 0; i < instancesEach; i++) {
        InstanceId id = InstanceId.of(domain + "-" + i);
        fleet.schedule(fleet.random.nextInt(2_000), () -> fleet.start(id, domain));
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

  void schedule(long atMillis, Runnable run) {
    eventNumber++;
    events.add(new Event(Math.max(nowMillis, atMillis), eventNumber, run));
  }

  void start(InstanceId id, FailureDomainId domain) {
    startNumber++;
    Member member =
        new Member(IncarnationId.of(id, startNumber), domain, HOST, (int) startNumber, false);
    double rate = 1 + MAX_DRIFT * (2 * random.nextDouble() - 1);
    SimulatedInstance instance =
        SimulatedInstance.of(this, member, rate, random.nextInt(1_000_000));
    instances.add(instance);
    falseDenials.addInstance(id);
    currentInstances.put(id, instance);
    publishList();
    repeat(instance, TICK_MILLIS, instance::tickLimiter);
    repeat(instance, MEMBERSHIP_TICK_MILLIS, instance::tickMembership);
    repeat(instance, PLATFORM_READ_MILLIS, () -> readPlatform(instance));
  }

  void kill(InstanceId id) {
    SimulatedInstance instance = currentInstances.remove(id);
    if (instance != null) {
      instance.end();
      publishList();
      updateObservedLimits();
    }
  }

  /** Pauses an instance's process; the platform removes it from the list after 5 s. */
  void pause(InstanceId id, long millis) {
    SimulatedInstance instance = currentInstances.get(id);
    if (instance == null || instance.isPaused()) {
      return;
    }
    instance.pause();
    schedule(nowMillis + 5_000, this::publishList);
    schedule(
        nowMillis + millis,
        () -> {
          instance.resume();
          publishList();
        });
  }

  /** Starts a new incarnation while the old one is paused; the old one resumes later. */
  void replaceWhilePaused(InstanceId id, long millis) {
    SimulatedInstance instance = currentInstances.get(id);
    if (instance == null || instance.isPaused()) {
      return;
    }
    instance.pause();
    schedule(nowMillis + millis, instance::resume);
    schedule(nowMillis + 4_000, () -> start(id, instance.member().domain()));
  }

  void leave(InstanceId id, long endAfterMillis) {
    SimulatedInstance instance = currentInstances.get(id);
    if (instance == null) {
      return;
    }
    instance.handle(instance::leave);
    schedule(
        nowMillis + endAfterMillis,
        () -> {
          if (currentInstances.get(id) == instance) {
            kill(id);
          }
        });
  }

  void setPartitioned(InstanceId one, InstanceId other, boolean cut) {
    change(partitionedInstances, pair(one, other), cut && !one.equals(other));
  }

  void setPartitioned(FailureDomainId one, FailureDomainId other, boolean cut) {
    change(partitionedDomains, pair(one, other), cut && !one.equals(other));
  }

  void setNetworkFaults(double loss, long delayMillis) {
    lossProbability = loss;
    extraDelayMillis = delayMillis;
  }

  void send(SimulatedInstance from, IncarnationId to, PeerMessage message) {
    deliver(from, to.instance(), message, to);
  }

  void sendToInstance(SimulatedInstance from, InstanceId to, PeerMessage message) {
    deliver(from, to, message, null);
  }

  boolean recordAcquisition(IncarnationId by, AccountId account, long tokens) {
    return falseDenials.recordAcquisition(nowMillis, by.instance(), account, tokens);
  }

  void recordGrant(SimulatedInstance by, LimitAction.Granted granted) {
    grantChecker.recordGrant(
        nowMillis, granted.account(), granted.tokens(), by.member().incarnation());
    if (random.nextInt(3) == 0) {
      long tokens = 1 + random.nextInt((int) granted.tokens());
      long atMillis = nowMillis + random.nextInt(1_500);
      schedule(atMillis, () -> by.handle(() -> by.refund(granted.account(), tokens)));
    }
  }

  void recordDenial(LimitAction.Denied denied, boolean idealGranted) {
    falseDenials.recordDenial(nowMillis, denied.reason(), idealGranted);
  }

  void recordRefund(AccountId account, long tokens) {
    grantChecker.recordRefund(nowMillis, account, tokens);
  }

  /** Updates the checker with the greatest limits that any running instance applies. */
  void updateObservedLimits() {
    Map<AccountId, AccountSpec> greatest = new HashMap<>();
    for (SimulatedInstance instance : instances) {
      if (!instance.isEnded() && !instance.revision().equals(Revision.NONE)) {
        for (AccountSpec spec : platform.document(instance.revision()).accounts()) {
          greatest.merge(spec.id(), spec, SimulatedFleet::maxLimits);
        }
      }
    }
    greatest.values().forEach(this::observeLimits);
  }

  List<InstanceId> runningInstances() {
    return currentInstances.keySet().stream().sorted().toList();
  }

  SimulatedInstance instance(InstanceId id) {
    return currentInstances.get(id);
  }

  List<SimulatedInstance> allInstances() {
    return instances;
  }

  List<FailureDomainId> domains() {
    return List.copyOf(domains);
  }

  SimulatedPlatform platform() {
    return platform;
  }

  GrantChecker grantChecker() {
    return grantChecker;
  }

  FalseDenialCounter falseDenials() {
    return falseDenials;
  }

  long nowMillis() {
    return nowMillis;
  }

  private void checkFractions(List<AccountId> accounts) {
    for (AccountId account : accounts) {
      double sum =
          instances.stream().mapToDouble(instance -> instance.accountFraction(account)).sum();
      grantChecker.checkFractions(nowMillis, account, sum);
    }
    schedule(nowMillis + CHECK_MILLIS, () -> checkFractions(accounts));
  }

  private void observeLimits(AccountSpec spec) {
    double tokensPerMilli = spec.rateTokensPerSecond() / 1_000.0;
    grantChecker.updateLimits(nowMillis, spec.id(), tokensPerMilli, spec.burstTokens());
    falseDenials.updateLimits(nowMillis, spec.id(), tokensPerMilli, spec.burstTokens());
  }

  private static AccountSpec maxLimits(AccountSpec one, AccountSpec other) {
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

  private void deliver(
      SimulatedInstance from, InstanceId to, PeerMessage message, IncarnationId only) {
    int copies = random.nextInt(20) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (random.nextDouble() < lossProbability) {
        continue;
      }
      long delayMillis = delayMillis();
      schedule(nowMillis + delayMillis, () -> arrive(from.member(), to, message, only));
    }
  }

  private void arrive(Member from, InstanceId to, PeerMessage message, IncarnationId only) {
    SimulatedInstance instance = only == null ? currentInstances.get(to) : find(only);
    if (instance != null && !isPartitioned(from, instance.member())) {
      instance.handle(() -> instance.receive(from.incarnation(), message));
    }
  }

  private SimulatedInstance find(IncarnationId incarnation) {
    return instances.stream()
        .filter(
            instance -> !instance.isEnded() && instance.member().incarnation().equals(incarnation))
        .findFirst()
        .orElse(null);
  }

  private boolean isPartitioned(Member one, Member other) {
    return partitionedDomains.contains(pair(one.domain(), other.domain()))
        || partitionedInstances.contains(pair(one.id(), other.id()));
  }

  /** Returns a delay of milliseconds, or occasionally seconds, so that messages are reordered. */
  private long delayMillis() {
    long delayMillis = 1 + random.nextInt(4) + (extraDelayMillis * random.nextInt(100)) / 100;
    boolean slow = random.nextDouble() < Math.min(MAX_SLOW_PROBABILITY, 2 * lossProbability);
    return slow ? delayMillis + random.nextInt(4_000) : delayMillis;
  }

  private void repeat(SimulatedInstance instance, long periodMillis, Runnable run) {
    schedule(
        nowMillis + 1 + random.nextInt((int) periodMillis),
        () -> {
          if (instance.isEnded()) {
            return;
          }
          if (!instance.isPaused()) {
            run.run();
          }
          repeat(instance, periodMillis, run);
        });
  }

  private void readPlatform(SimulatedInstance instance) {
    if (platform.isDisconnected(instance.member().domain())) {
      return;
    }
    long lagMillis = random.nextInt((int) SimulatedPlatform.MAX_LIST_LAG_MILLIS);
    instance.updateInstances(platform.instancesAt(nowMillis, lagMillis));
    instance.applyDocument(platform.documentAt(nowMillis), domains);
  }

  private void publishList() {
    List<ListedInstance> listed = new ArrayList<>();
    for (SimulatedInstance instance : currentInstances.values()) {
      if (!instance.isPaused()) {
        Member member = instance.member();
        listed.add(
            new ListedInstance(member.id(), member.domain(), HOST, member.peerPort(), false));
      }
    }
    platform.publishInstances(nowMillis, listed);
  }
}
