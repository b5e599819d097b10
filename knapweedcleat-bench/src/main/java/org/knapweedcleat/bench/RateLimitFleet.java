package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.limit.LimitAction;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.message.PeerMessage;

/** Simulated instances in three failure domains of two regions, with network delays. */
final class RateLimitFleet {

  private static final int INSTANCES_PER_DOMAIN = 3;
  private static final long LIMITER_TICK_MILLIS = 20;
  private static final long MEMBERSHIP_TICK_MILLIS = 100;
  private static final long INSTANCE_LIST_INTERVAL_MILLIS = 1_000;
  private static final long SAME_REGION_DELAY_MICROS = 1_000;
  private static final long CROSS_REGION_DELAY_MICROS = 30_000;
  private static final long DOMAIN_DRAW_TIMEOUT_MILLIS = 300;
  private static final String HOST = "127.0.0.1";

  private final EventQueue events;
  private final Random random;
  private final List<AccountSpec> accounts;
  private final Map<AccountId, RateLimitStatistics> statistics;
  private final List<FailureDomainId> domains =
      List.of(FailureDomainId.of("a-1"), FailureDomainId.of("a-2"), FailureDomainId.of("b-1"));
  private final List<RateLimitInstance> instances = new ArrayList<>();
  private final Map<Integer, Long> startCounts = new HashMap<>();

  private RateLimitFleet(
      EventQueue events,
      long seed,
      List<AccountSpec> accounts,
      Map<AccountId, RateLimitStatistics> statistics) {
    this.events = events;
    this.random = new Random(seed);
    this.accounts = accounts;
    this.statistics = statistics;
  }

  static RateLimitFleet of(
      EventQueue events,
      long seed,
      List<AccountSpec> accounts,
      Map<AccountId, RateLimitStatistics> statistics) {
    RateLimitFleet fleet = new RateLimitFleet(events, seed, accounts, statistics);
    for (int index = 0; index < INSTANCES_PER_DOMAIN * fleet.domains.size(); index++) {
      fleet.instances.add(null);
      fleet.start(index);
    }
    return fleet;
  }

  void start(int index) {
    long startNumber = startCounts.merge(index, 1L, Long::sum);
    InstanceId id = InstanceId.of("instance-" + index);
    FailureDomainId domain = domains.get(index / INSTANCES_PER_DOMAIN);
    int port = (int) (1_000 * startNumber + index);
    Member member = new Member(IncarnationId.of(id, startNumber), domain, HOST, port, false);
    RateLimitInstance instance = RateLimitInstance.start(this, member);
    instances.set(index, instance);
    repeatWhileRunning(instance, LIMITER_TICK_MILLIS, instance::tickLimiter);
    repeatWhileRunning(instance, MEMBERSHIP_TICK_MILLIS, instance::tickMembership);
    repeatWhileRunning(
        instance,
        INSTANCE_LIST_INTERVAL_MILLIS,
        () -> instance.updateInstances(runningInstances()));
  }

  RateLimitInstance instance(int index) {
    return instances.get(index);
  }

  long nowMillis() {
    return events.nowMillis();
  }

  List<AccountSpec> accounts() {
    return accounts;
  }

  List<FailureDomainId> domains() {
    return domains;
  }

  /** Returns the other failure domains, nearest first. */
  List<FailureDomainId> otherDomains(FailureDomainId ownDomain) {
    return domains.stream()
        .filter(other -> !other.equals(ownDomain))
        .sorted(Comparator.comparingLong(other -> delayMicros(ownDomain, other)))
        .toList();
  }

  Member randomMember(List<Member> members) {
    return members.get(random.nextInt(members.size()));
  }

  void recordCharge(AccountId account, long tokens) {
    statistics.get(account).recordCharge(events.nowMicros(), tokens);
  }

  void send(RateLimitInstance from, InstanceId to, PeerMessage message) {
    instances.stream()
        .filter(instance -> instance != null && instance.member().id().equals(to))
        .forEach(
            instance ->
                deliver(from, instance, () -> instance.receive(incarnation(from), message)));
  }

  void send(RateLimitInstance from, IncarnationId to, PeerMessage message) {
    instances.stream()
        .filter(instance -> instance != null && incarnation(instance).equals(to))
        .forEach(
            instance ->
                deliver(from, instance, () -> instance.receive(incarnation(from), message)));
  }

  /** Acquires tokens at another instance; without a timely answer, the time-out outcome applies. */
  void acquireRemotely(
      RateLimitInstance from,
      Member to,
      AccountId account,
      long tokens,
      LimitAction timeoutOutcome,
      Consumer<LimitAction> callback) {
    AtomicBoolean answered = new AtomicBoolean();
    Consumer<LimitAction> answerOnce =
        outcome -> {
          if (!answered.getAndSet(true)) {
            callback.accept(outcome);
          }
        };
    instances.stream()
        .filter(instance -> incarnation(instance).equals(to.incarnation()))
        .forEach(
            instance ->
                deliver(
                    from,
                    instance,
                    () ->
                        instance.acquire(
                            account,
                            tokens,
                            outcome -> deliver(instance, from, () -> answerOnce.accept(outcome)))));
    events.scheduleAfterMillis(
        DOMAIN_DRAW_TIMEOUT_MILLIS, () -> from.handle(() -> answerOnce.accept(timeoutOutcome)));
  }

  private void deliver(RateLimitInstance from, RateLimitInstance to, Runnable event) {
    long delayMicros = delayMicros(from.member().domain(), to.member().domain());
    long jitterMicros = random.nextInt((int) (delayMicros / 5));
    events.scheduleAfter(delayMicros + jitterMicros, () -> to.handle(event));
  }

  private long delayMicros(FailureDomainId one, FailureDomainId other) {
    boolean sameRegion = one.value().charAt(0) == other.value().charAt(0);
    return sameRegion ? SAME_REGION_DELAY_MICROS : CROSS_REGION_DELAY_MICROS;
  }

  private static IncarnationId incarnation(RateLimitInstance instance) {
    return instance.member().incarnation();
  }

  private List<ListedInstance> runningInstances() {
    return instances.stream()
        .filter(instance -> !instance.isEnded())
        .map(RateLimitInstance::member)
        .map(
            member ->
                new ListedInstance(member.id(), member.domain(), HOST, member.peerPort(), false))
        .toList();
  }

  private void repeatWhileRunning(RateLimitInstance instance, long periodMillis, Runnable task) {
    long firstMicros = random.nextInt((int) periodMillis * 1_000);
    events.scheduleAfter(firstMicros, () -> runAndReschedule(instance, periodMillis, task));
  }

  private void runAndReschedule(RateLimitInstance instance, long periodMillis, Runnable task) {
    if (instance.isEnded()) {
      return;
    }
    if (!instance.isPaused()) {
      task.run();
    }
    events.scheduleAfterMillis(periodMillis, () -> runAndReschedule(instance, periodMillis, task));
  }
}
