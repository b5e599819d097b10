package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.forward.AttemptLedger;
import org.knapweedcleat.core.forward.RetryDecision;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;

/** Endpoints refuse every call, and each instance retries as far as its budget allows. */
class FleetRetryBudgetTest {

  private static final int INSTANCES = 36;
  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final EndpointId ENGINE = EndpointId.of("i-1");
  private static final long WINDOW_MILLIS = SimulatedFleet.BOUNDS.repeatWindowMillis();
  private static final long STEP_MILLIS = 100;

  /** At this rate the ratio and the slack allow about the same number of retries. */
  private static final int CALLS_PER_STEP = 6;

  private final Random random = new Random(20261204);
  private final SimulatedFleet fleet = SimulatedFleet.of(INSTANCES, "a", "b", "c", "d", "e", "f");
  private final List<Long> callTimesMillis = new ArrayList<>();
  private final List<Long> retryTimesMillis = new ArrayList<>();

  @Test
  void convergedFleetStaysWithinBudget() {
    fleet.run(20_000);
    simulateCalls(30_000);

    assertThat(maxExcess(), lessThanOrEqualTo(0.0));
  }

  @Test
  void startingFleetStaysWithinBudget() {
    simulateCalls(30_000);

    assertThat(maxExcess(), lessThanOrEqualTo(0.0));
  }

  /** Guards against restarted instances that start with a full share and no known members. */
  @Test
  void simultaneousRestartStaysWithinBudget() {
    fleet.run(20_000);
    simulateCalls(12_000);
    fleet.running().forEach(fleet::restart);
    simulateCalls(20_000);

    assertThat(maxExcess(), lessThanOrEqualTo(0.0));
  }

  /** Guards against each restart granting another share for the same ten-second window. */
  @Test
  void rollingRestartStaysWithinBudget() {
    fleet.run(20_000);
    for (int round = 0; round < 3; round++) {
      for (Node node : fleet.running()) {
        fleet.restart(node);
        simulateCalls(STEP_MILLIS);
      }
    }

    assertThat(maxExcess(), lessThanOrEqualTo(0.0));
  }

  /** Guards against each side of a partition forgetting the other and using the whole slack. */
  @Test
  void sidesOfLongPartitionStayWithinBudgetTogether() {
    fleet.run(20_000);
    fleet.partition("d", "e", "f");
    fleet.run(40_000);
    simulateCalls(20_000);

    assertThat(maxExcess(), lessThanOrEqualTo(0.0));
  }

  /** Instances that start during a partition cannot determine the fleet size. */
  @Test
  void restartedSideOfPartitionStaysWithinBudgetTogether() {
    fleet.run(20_000);
    fleet.partition("d", "e", "f");
    simulateCalls(5_000);
    fleet.running().stream().filter(this::isPartitioned).forEach(fleet::restart);
    simulateCalls(40_000);

    assertThat(maxExcess(), lessThanOrEqualTo(0.0));
  }

  private boolean isPartitioned(Node node) {
    return "def".contains(node.self.domain().value());
  }

  private void simulateCalls(long millis) {
    for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += STEP_MILLIS) {
      fleet.run(STEP_MILLIS);
      List<Node> running = fleet.running();
      for (int i = 0; i < CALLS_PER_STEP; i++) {
        call(running.get(random.nextInt(running.size())));
      }
    }
  }

  private void call(Node node) {
    long nowMillis = fleet.nowMillis();
    callTimesMillis.add(nowMillis);
    node.budgets.budget(SERVICE).recordCall(nowMillis);
    AttemptLedger ledger = AttemptLedger.of(route(), node.budgets.budget(SERVICE));
    ledger.recordSend(ENGINE);
    while (ledger.onRefused(nowMillis) == RetryDecision.AGAIN) {
      ledger.recordSend(ENGINE);
      retryTimesMillis.add(nowMillis);
    }
  }

  /** Returns the largest excess of retries over the configured bound in any window. */
  private double maxExcess() {
    double maxExcess = Double.NEGATIVE_INFINITY;
    for (long fromMillis : retryTimesMillis) {
      long maxCallCount =
          Math.max(
              count(callTimesMillis, fromMillis),
              Math.max(
                  count(callTimesMillis, fromMillis - WINDOW_MILLIS),
                  count(callTimesMillis, fromMillis - WINDOW_MILLIS / 2)));
      double allowed =
          SimulatedFleet.BOUNDS.repeatRatio() * maxCallCount + SimulatedFleet.BOUNDS.repeatSlack();
      maxExcess = Math.max(maxExcess, count(retryTimesMillis, fromMillis) - allowed);
    }
    return maxExcess;
  }

  private static long count(List<Long> times, long fromMillis) {
    return times.stream().filter(at -> at >= fromMillis && at < fromMillis + WINDOW_MILLIS).count();
  }

  private static ForwardRoute route() {
    return new ForwardRoute(
        "r",
        "h",
        "/",
        CallKind.UNSAFE,
        false,
        true,
        10_000,
        900,
        0,
        2,
        1,
        List.of(new ServiceShare(SERVICE, 1)),
        Set.of());
  }
}
