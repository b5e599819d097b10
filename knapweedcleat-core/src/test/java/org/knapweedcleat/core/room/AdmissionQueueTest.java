package org.knapweedcleat.core.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

class AdmissionQueueTest {

  private static final long MEMORY_TOKENS = 28_798;
  private static final long CALL_TOKENS = 3_335;
  private static final long DURATION_MILLIS = 60_000;
  private static final long[] TARGET_MILLIS = {800, 1_000, 2_000};

  /** Guards against urgent calls, which can wait the least, being refused most often. */
  @Test
  void threeRanksCompetingForTooLittleMemoryAreServedByRank() {
    QueueSimulation simulation = new QueueSimulation(8, MEMORY_TOKENS, 2_000);
    simulateRanks(simulation, 10, 15, 22);

    assertThat(simulation.onTimeShare("r0"), greaterThan(0.9));
    assertThat(
        simulation.servedShare("r0"), greaterThanOrEqualTo(simulation.servedShare("r1") - 0.05));
    assertThat(
        simulation.servedShare("r1"), greaterThanOrEqualTo(simulation.servedShare("r2") - 0.05));
  }

  /** Guards against a rank being shut out while more urgent calls alone exceed the capacity. */
  @Test
  void lowestRankKeepsLeastShare() {
    QueueSimulation simulation = new QueueSimulation(4, MEMORY_TOKENS, 2_000);
    simulateRanks(simulation, 30, 10, 10);

    assertThat(simulation.servedShare("r0"), lessThan(0.6));
    assertThat(simulation.servedShare("r2"), greaterThanOrEqualTo(simulation.servedShare() * 0.25));
    assertThat(simulation.servedShare("r1"), greaterThanOrEqualTo(simulation.servedShare() * 0.25));
  }

  /** Guards against one account with many calls taking the capacity of all others of its rank. */
  @Test
  void accountOverItsShareWaitsBehindOthers() {
    QueueSimulation simulation = new QueueSimulation(4, MEMORY_TOKENS, 2_000);
    Random random = new Random(3);
    int number = 0;
    for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += 20) {
      boolean hot = random.nextDouble() < 0.8;
      String account = hot ? "hot" : "a" + random.nextInt(4);
      String id = (hot ? "hot-" : "other-") + number++;
      simulation.offer(
          nowMillis, QueueSimulation.call(id, 1, account, CALL_TOKENS, nowMillis, 1_000));
    }

    assertThat(simulation.servedShare("other"), greaterThan(0.9));
    assertThat(simulation.servedShare("hot"), lessThan(0.6));
  }

  /** Guards against small calls taking all capacity before enough is free for a large one. */
  @Test
  void largePromptsAreServedBesideSmallOnes() {
    QueueSimulation simulation = new QueueSimulation(4, MEMORY_TOKENS, 2_000);
    Random random = new Random(5);
    int number = 0;
    for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += 25) {
      boolean large = random.nextDouble() < 0.1;
      String id = (large ? "large-" : "small-") + number++;
      long tokens = large ? 9_000 : 2_700;
      simulation.offer(nowMillis, QueueSimulation.call(id, 1, "a", tokens, nowMillis, 1_500));
    }

    assertThat(simulation.servedShare(), lessThan(0.8));
    assertThat(simulation.servedShare("large"), greaterThanOrEqualTo(simulation.servedShare() / 2));
  }

  /** Guards against a burst of less urgent calls filling the engines before urgent ones arrive. */
  @Test
  void capacityIsReservedWhileUrgentCallsArrive() {
    QueueSimulation simulation = new QueueSimulation(4, MEMORY_TOKENS);
    long nowMillis = 0;
    for (int i = 0; i < 16; i++) {
      nowMillis += 50;
      simulation.offer(
          nowMillis, QueueSimulation.call("r0-" + i, 0, "a", CALL_TOKENS, nowMillis, 800));
    }
    for (int i = 0; i < 40; i++) {
      simulation.offer(
          nowMillis, QueueSimulation.call("r2-" + i, 2, "a", CALL_TOKENS, nowMillis, 2_000));
    }
    simulation.offer(
        nowMillis, QueueSimulation.call("last-0", 0, "a", CALL_TOKENS, nowMillis, 800));

    assertThat(simulation.grantedIds().contains("last-0"), is(true));
  }

  /** Guards against calls that wait until their deadline although they cannot be served. */
  @Test
  void burstBeyondCapacityIsRefusedAtOnceWithLaterRetryForLowerRanks() {
    QueueSimulation simulation = new QueueSimulation(1, MEMORY_TOKENS);
    long urgentRetryMillis = 0;
    long otherRetryMillis = 0;
    int refused = 0;
    for (int i = 0; i < 60; i++) {
      Optional<AdmissionAction> urgent =
          simulation.offer(0, QueueSimulation.call("r0-" + i, 0, "a", CALL_TOKENS, 0, 800));
      Optional<AdmissionAction> other =
          simulation.offer(0, QueueSimulation.call("r2-" + i, 2, "a", CALL_TOKENS, 0, 2_000));
      if (urgent.isPresent() && other.isPresent()) {
        refused++;
        urgentRetryMillis = ((AdmissionAction.Refused) urgent.get()).retryAfterMillis();
        otherRetryMillis = ((AdmissionAction.Refused) other.get()).retryAfterMillis();
      }
    }

    assertThat(refused, greaterThan(40));
    assertThat(otherRetryMillis, greaterThan(urgentRetryMillis));
  }

  /** Guards against a call waiting beyond the time for which it was queued. */
  @Test
  void callThatWasNotPlacedInTimeIsRefused() {
    QueueSimulation simulation = new QueueSimulation(1, CALL_TOKENS * 2);
    simulation.offer(0, QueueSimulation.call("first", 0, "a", CALL_TOKENS, 0, 800));
    simulation.queue.offer(0, QueueSimulation.call("second", 0, "a", CALL_TOKENS, 0, 800));
    simulation.run(799);
    assertThat(simulation.actions().size(), is(1));

    simulation.run(800);
    assertThat(simulation.actions().get(1), instanceOf(AdmissionAction.Refused.class));
    assertThat(simulation.queue.depthByRank().isEmpty(), is(true));
  }

  /** Guards against a started stream, whose caller soon gives up, waiting behind new calls. */
  @Test
  void startedCallGoesFirst() {
    QueueSimulation simulation = new QueueSimulation(1, CALL_TOKENS * 2);
    simulation.offer(0, QueueSimulation.call("first", 0, "a", CALL_TOKENS, 0, 800));
    QueuedCall urgent = QueueSimulation.call("urgent", 0, "a", CALL_TOKENS, 1_900, 800);
    QueuedCall started =
        new QueuedCall(
            new CallKey(QueueSimulation.HOLDER, "started"),
            true,
            2,
            "b",
            CALL_TOKENS,
            1_950,
            1_950,
            0,
            9_000);
    simulation.queue.offer(1_900, urgent);
    simulation.queue.offer(1_950, started);
    simulation.run(2_000);

    assertThat(simulation.grantedIds(), contains("first", "started"));
  }

  /** Guards against a holder that died keeping positions in front of live calls. */
  @Test
  void endedHolderLosesItsPositions() {
    AdmissionQueue queue = AdmissionQueue.create();
    IncarnationId dead = IncarnationId.of(InstanceId.of("dead"), 1);
    queue.offer(0, held(dead, "1", 0));
    queue.offer(0, held(dead, "2", 0));
    queue.offer(0, held(QueueSimulation.HOLDER, "1", 0));
    queue.withdrawAll(dead);

    assertThat(queue.depthByRank().get(1), is(1));
    assertThat(queue.position(0, new CallKey(QueueSimulation.HOLDER, "1")).callsAhead(), is(0));
  }

  /** Guards against positions of calls whose end was never reported, as after a lost message. */
  @Test
  void callThatIsNotConfirmedIsDropped() {
    AdmissionQueue queue = AdmissionQueue.create();
    queue.offer(0, held(QueueSimulation.HOLDER, "1", 0));
    queue.offer(0, held(QueueSimulation.HOLDER, "2", 0));
    queue.offer(2_000, held(QueueSimulation.HOLDER, "2", 2_000));
    queue.next(3_000, new FakeCapacity(0, 0));

    assertThat(queue.depthByRank().get(1), is(1));
  }

  /**
   * Guards against waiting calls losing their positions when another instance takes over: they ask
   * again in any order.
   */
  @Test
  void successorRestoresOrderFromRepeatedQueries() {
    QueueSimulation simulation = new QueueSimulation(1, CALL_TOKENS * 2);
    simulation.offer(0, QueueSimulation.call("running", 1, "a", CALL_TOKENS, 0, 800));
    simulation.queue = AdmissionQueue.create();
    simulation.queue.updateCapacity(1, MEMORY_TOKENS);
    simulation.queue.offer(1_900, QueueSimulation.call("late", 1, "a", CALL_TOKENS, 1_300, 1_500));
    simulation.queue.offer(1_910, QueueSimulation.call("early", 1, "a", CALL_TOKENS, 1_000, 1_500));
    simulation.run(2_000);

    assertThat(simulation.grantedIds(), contains("running", "early"));
  }

  /** Guards against a repeated query being granted a second time or losing its position. */
  @Test
  void repeatedQueryIsGrantedOnce() {
    QueueSimulation simulation = new QueueSimulation(1, CALL_TOKENS * 4);
    simulation.offer(0, QueueSimulation.call("running", 1, "a", CALL_TOKENS * 3, 0, 800));
    QueuedCall first = QueueSimulation.call("first", 1, "a", CALL_TOKENS, 1_500, 1_500);
    simulation.queue.offer(1_500, first);
    simulation.queue.offer(
        1_510, QueueSimulation.call("second", 1, "a", CALL_TOKENS, 1_510, 1_500));
    simulation.queue.offer(1_600, first);
    simulation.run(2_000);

    assertThat(simulation.grantedIds(), contains("running", "first", "second"));
  }

  /**
   * Two allocators that know nothing of each other hand out the same capacity; guards against more
   * than that: each grants at most what the engines hold.
   */
  @Test
  void twoAllocatorsGrantAtMostTheCapacityEach() {
    QueueSimulation one = new QueueSimulation(2, MEMORY_TOKENS);
    QueueSimulation other = new QueueSimulation(2, MEMORY_TOKENS);
    for (int i = 0; i < 40; i++) {
      QueuedCall call = QueueSimulation.call("c-" + i, 1, "a", CALL_TOKENS, 0, 800);
      one.offer(0, call);
      other.offer(0, call);
    }

    int fitting = (int) (MEMORY_TOKENS * 0.93 / CALL_TOKENS) * 2;
    assertThat(one.grantedIds().size(), is(fitting));
    assertThat(other.grantedIds().size(), is(fitting));
  }

  /** Guards against a call that no engine may take, such as one that tried all, stopping others. */
  @Test
  void callThatNeverFitsDoesNotBlockOthers() {
    AdmissionQueue queue = AdmissionQueue.create();
    queue.updateCapacity(8, MEMORY_TOKENS);
    queue.offer(0, held(QueueSimulation.HOLDER, "stuck", 0));
    FakeCapacity capacity = new FakeCapacity(8, MEMORY_TOKENS);
    int granted = 0;
    for (int i = 0; i < 40; i++) {
      long nowMillis = i * 50L;
      queue.offer(
          nowMillis, QueueSimulation.call("s-" + i, 1, "a", CALL_TOKENS, nowMillis, 10_000));
      while (queue.next(nowMillis, new PlacerWithoutStuckCall(capacity)).isPresent()) {
        granted++;
      }
    }

    assertThat(granted, is(40));
  }

  /** Guards against calls that are held for engines which release their capacity more slowly. */
  @Test
  void slowerEnginesLengthenTheExpectedWait() {
    AdmissionQueue queue = AdmissionQueue.create();
    queue.offer(0, QueueSimulation.call("first", 1, "a", MEMORY_TOKENS, 0, 800));
    QueuedCall second = QueueSimulation.call("second", 1, "a", CALL_TOKENS, 1, 800);
    queue.offer(1, second);
    queue.updateCapacity(1, MEMORY_TOKENS);
    final long expectedMillis = queue.position(1, second.key()).expectedWaitMillis();

    queue.updateCapacity(1, MEMORY_TOKENS, 0.5);

    assertThat(
        (double) queue.position(1, second.key()).expectedWaitMillis(),
        is(closeTo(expectedMillis * 2.0, 1)));
  }

  /** Guards against log lines and metrics that name ranks without waiting calls. */
  @Test
  void depthCountsOnlyWaitingCalls() {
    AdmissionQueue queue = AdmissionQueue.create();
    queue.offer(0, held(QueueSimulation.HOLDER, "1", 0));
    queue.withdraw(new CallKey(QueueSimulation.HOLDER, "1"));

    assertThat(queue.depthByRank().keySet(), is(empty()));
    assertThat(
        queue.position(0, new CallKey(QueueSimulation.HOLDER, "1")).callsAhead(),
        is(lessThanOrEqualTo(0)));
  }

  private static QueuedCall held(IncarnationId holder, String id, long heardMillis) {
    return new QueuedCall(
        new CallKey(holder, id), false, 1, "a", CALL_TOKENS, 0, heardMillis, 20_000, 20_000);
  }

  private static void simulateRanks(QueueSimulation simulation, double... callsPerSecond) {
    Random random = new Random(1);
    int number = 0;
    for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += 5) {
      simulation.run(nowMillis);
      for (int rank = 0; rank < callsPerSecond.length; rank++) {
        if (random.nextDouble() < callsPerSecond[rank] * 5 / 1_000) {
          String id = "r" + rank + "-" + number++;
          simulation.offer(
              nowMillis,
              QueueSimulation.call(id, rank, "a", CALL_TOKENS, nowMillis, TARGET_MILLIS[rank]));
        }
      }
    }
  }

  /** Has no engine for the call with the id "stuck". */
  private record PlacerWithoutStuckCall(FakeCapacity capacity) implements CapacityPlacer {
    @Override
    public Optional<StreamPlacement> place(
        QueuedCall call, double usableMemoryFraction, Set<EndpointId> avoided) {
      return isStuck(call) ? Optional.empty() : capacity.place(call, usableMemoryFraction, avoided);
    }

    @Override
    public Optional<EndpointId> leastFilled(QueuedCall call, Set<EndpointId> avoided) {
      return isStuck(call) ? Optional.empty() : capacity.leastFilled(call, avoided);
    }

    private static boolean isStuck(QueuedCall call) {
      return call.key().requestId().equals("stuck");
    }
  }
}
