package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.forward.AttemptLedger;
import org.knapweedcleat.core.forward.RetryDecision;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.fleet.FakeFleet.Node;

/** The pattern: endpoints refuse every call, and each instance repeats what it may. */
class RepeatsOfFleetTest {

  private static final int INSTANCES = 36;
  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final EndpointId ENGINE = EndpointId.of("i-1");
  private static final long WINDOW_MILLIS = FakeFleet.BOUNDS.repeatWindowMillis();
  private static final long STEP_MILLIS = 100;

  /** So many that the slack and the calls allow about the same number of repeats. */
  private static final int CALLS_PER_STEP = 6;

  private final Random random = new Random(20261204);
  private final FakeFleet fleet = FakeFleet.of(INSTANCES, "a", "b", "c", "d", "e", "f");
  private final List<Long> calls = new ArrayList<>();
  private final List<Long> repeats = new ArrayList<>();

  @Test
  void fleetThatKnowsItselfKeepsTheBudget() {
    fleet.run(20_000);
    play(30_000);

    assertThat(worstExcess(), lessThanOrEqualTo(0.0));
  }

  @Test
  void fleetThatHasJustStartedKeepsTheBudget() {
    play(30_000);

    assertThat(worstExcess(), lessThanOrEqualTo(0.0));
  }

  /** Instances that were killed began with a whole share and without those they had known. */
  @Test
  void fleetThatIsKilledAtOnceKeepsTheBudget() {
    fleet.run(20_000);
    play(12_000);
    fleet.living().forEach(fleet::restart);
    play(20_000);

    assertThat(worstExcess(), lessThanOrEqualTo(0.0));
  }

  /** Each restart gave an instance another share for the same ten seconds. */
  @Test
  void instancesThatAreRestartedInTurnKeepTheBudget() {
    fleet.run(20_000);
    for (int round = 0; round < 3; round++) {
      for (Node node : fleet.living()) {
        fleet.restart(node);
        play(STEP_MILLIS);
      }
    }

    assertThat(worstExcess(), lessThanOrEqualTo(0.0));
  }

  /** Both sides of a cut forgot each other and took the whole slack each. */
  @Test
  void sidesOfLongCutKeepTheBudgetTogether() {
    fleet.run(20_000);
    fleet.cutOff("d", "e", "f");
    fleet.run(40_000);
    play(20_000);

    assertThat(worstExcess(), lessThanOrEqualTo(0.0));
  }

  /** Instances that start behind a cut cannot learn how large the fleet is. */
  @Test
  void sideThatIsKilledBehindCutKeepsTheBudgetWithTheOther() {
    fleet.run(20_000);
    fleet.cutOff("d", "e", "f");
    play(5_000);
    fleet.living().stream().filter(this::isCutOff).forEach(fleet::restart);
    play(40_000);

    assertThat(worstExcess(), lessThanOrEqualTo(0.0));
  }

  private boolean isCutOff(Node node) {
    return "def".contains(node.self.domain().value());
  }

  private void play(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      fleet.run(STEP_MILLIS);
      List<Node> living = fleet.living();
      for (int i = 0; i < CALLS_PER_STEP; i++) {
        call(living.get(random.nextInt(living.size())));
      }
    }
  }

  private void call(Node node) {
    long nowMillis = fleet.nowMillis();
    calls.add(nowMillis);
    node.budgets.budget(SERVICE).recordCall(nowMillis);
    AttemptLedger ledger = AttemptLedger.of(route(), node.budgets.budget(SERVICE));
    ledger.recordSend(ENGINE);
    while (ledger.onRefused(nowMillis) == RetryDecision.AGAIN) {
      ledger.recordSend(ENGINE);
      repeats.add(nowMillis);
    }
  }

  /** Returns by how much the repeats of any window exceed what operators allow. */
  private double worstExcess() {
    double worst = Double.NEGATIVE_INFINITY;
    for (long fromMillis : repeats) {
      long most =
          Math.max(
              count(calls, fromMillis),
              Math.max(
                  count(calls, fromMillis - WINDOW_MILLIS),
                  count(calls, fromMillis - WINDOW_MILLIS / 2)));
      double allowed = FakeFleet.BOUNDS.repeatRatio() * most + FakeFleet.BOUNDS.repeatSlack();
      worst = Math.max(worst, count(repeats, fromMillis) - allowed);
    }
    return worst;
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
        List.of(new ServiceShare(SERVICE, 1)));
  }
}
