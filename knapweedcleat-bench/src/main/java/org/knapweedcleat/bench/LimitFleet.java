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

/** Instances in three failure domains of two regions, on a network with delays. */
final class LimitFleet {

  private static final int EACH = 3;
  private static final long TICK_MILLIS = 20;
  private static final long MEMBERSHIP_TICK_MILLIS = 100;
  private static final long LIST_MILLIS = 1_000;
  private static final long NEAR_MICROS = 1_000;
  private static final long FAR_MICROS = 30_000;
  private static final long DOMAIN_DRAW_TIMEOUT_MILLIS = 300;
  private static final String HOST = "127.0.0.1";

  private final EventQueue queue;
  private final Random random;
  private final List<AccountSpec> accounts;
  private final Map<AccountId, LimitTally> tallies;
  private final List<FailureDomainId> domains =
      List.of(FailureDomainId.of("a-1"), FailureDomainId.of("a-2"), FailureDomainId.of("b-1"));
  private final List<LimitNode> nodes = new ArrayList<>();
  private final Map<Integer, Long> starts = new HashMap<>();

  private LimitFleet(
      EventQueue queue, long seed, List<AccountSpec> accounts, Map<AccountId, LimitTally> tallies) {
    this.queue = queue;
    this.random = new Random(seed);
    this.accounts = accounts;
    this.tallies = tallies;
  }

  static LimitFleet of(
      EventQueue queue, long seed, List<AccountSpec> accounts, Map<AccountId, LimitTally> tallies) {
    LimitFleet fleet = new LimitFleet(queue, seed, accounts, tallies);
    for (int index = 0; index < EACH * fleet.domains.size(); index++) {
      fleet.nodes.add(null);
      fleet.start(index);
    }
    return fleet;
  }

  void start(int index) {
    long number = starts.merge(index, 1L, Long::sum);
    InstanceId id = InstanceId.of("instance-" + index);
    FailureDomainId domain = domains.get(index / EACH);
    int port = (int) (1_000 * number + index);
    Member member = new Member(IncarnationId.of(id, number), domain, HOST, port, false);
    LimitNode node = LimitNode.start(this, member);
    nodes.set(index, node);
    repeat(node, TICK_MILLIS, node::tickLimiter);
    repeat(node, MEMBERSHIP_TICK_MILLIS, node::tickMembership);
    repeat(node, LIST_MILLIS, () -> node.listed(list()));
  }

  LimitNode node(int index) {
    return nodes.get(index);
  }

  long nowMillis() {
    return queue.nowMillis();
  }

  List<AccountSpec> accounts() {
    return accounts;
  }

  List<FailureDomainId> domains() {
    return domains;
  }

  /** Returns the other failure domains, nearest first. */
  List<FailureDomainId> others(FailureDomainId own) {
    return domains.stream()
        .filter(other -> !other.equals(own))
        .sorted(Comparator.comparingLong(other -> delayMicros(own, other)))
        .toList();
  }

  Member any(List<Member> members) {
    return members.get(random.nextInt(members.size()));
  }

  void charged(AccountId account, long tokens) {
    tallies.get(account).charged(queue.nowMicros(), tokens);
  }

  void send(LimitNode from, InstanceId to, PeerMessage message) {
    nodes.stream()
        .filter(node -> node != null && node.member().id().equals(to))
        .forEach(node -> deliver(from, node, () -> node.receive(incarnation(from), message)));
  }

  void send(LimitNode from, IncarnationId to, PeerMessage message) {
    nodes.stream()
        .filter(node -> node != null && incarnation(node).equals(to))
        .forEach(node -> deliver(from, node, () -> node.receive(incarnation(from), message)));
  }

  /** Asks an instance for tokens; without an answer in time the lost outcome is the answer. */
  void askElsewhere(
      LimitNode from,
      Member to,
      AccountId account,
      long tokens,
      LimitAction lost,
      Consumer<LimitAction> answer) {
    AtomicBoolean answered = new AtomicBoolean();
    Consumer<LimitAction> once =
        outcome -> {
          if (!answered.getAndSet(true)) {
            answer.accept(outcome);
          }
        };
    nodes.stream()
        .filter(node -> incarnation(node).equals(to.incarnation()))
        .forEach(
            node ->
                deliver(
                    from,
                    node,
                    () ->
                        node.acquire(
                            account,
                            tokens,
                            outcome -> deliver(node, from, () -> once.accept(outcome)))));
    queue.afterMillis(DOMAIN_DRAW_TIMEOUT_MILLIS, () -> from.handle(() -> once.accept(lost)));
  }

  private void deliver(LimitNode from, LimitNode to, Runnable event) {
    long delayMicros = delayMicros(from.member().domain(), to.member().domain());
    long jitterMicros = random.nextInt((int) (delayMicros / 5));
    queue.after(delayMicros + jitterMicros, () -> to.handle(event));
  }

  private long delayMicros(FailureDomainId one, FailureDomainId other) {
    boolean near = one.value().charAt(0) == other.value().charAt(0);
    return near ? NEAR_MICROS : FAR_MICROS;
  }

  private static IncarnationId incarnation(LimitNode node) {
    return node.member().incarnation();
  }

  private List<ListedInstance> list() {
    return nodes.stream()
        .filter(node -> !node.isOver())
        .map(LimitNode::member)
        .map(one -> new ListedInstance(one.id(), one.domain(), HOST, one.peerPort(), false))
        .toList();
  }

  private void repeat(LimitNode node, long periodMillis, Runnable run) {
    long firstMicros = random.nextInt((int) periodMillis * 1_000);
    queue.after(firstMicros, () -> again(node, periodMillis, run));
  }

  private void again(LimitNode node, long periodMillis, Runnable run) {
    if (node.isOver()) {
      return;
    }
    if (!node.isPaused()) {
      run.run();
    }
    queue.afterMillis(periodMillis, () -> again(node, periodMillis, run));
  }
}
