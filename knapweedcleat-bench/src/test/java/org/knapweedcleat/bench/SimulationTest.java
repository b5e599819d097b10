package org.knapweedcleat.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class SimulationTest {

  private static final long SEED = 3;

  /** Guards against cancelling streams as orphans while the instance that runs them is paused. */
  @Test
  void allRequestsEndAfterSchedulerPause() {
    assertAllRequestsEnd(Scenario.INSTANCE_PAUSED);
  }

  @Test
  void allRequestsEndAfterEngineLoss() {
    assertAllRequestsEnd(Scenario.ENGINE_LOST);
  }

  private static void assertAllRequestsEnd(Scenario scenario) {
    BenchmarkFleet fleet = scenario.fleet();
    SchedulerPolicy policy = SchedulerPolicy.perDomain(fleet);
    List<Arrival> arrivals = WorkloadGenerator.generate(fleet, scenario, SEED, false);
    AccountRateLimiter limiter = AccountRateLimiter.fleetWide(fleet.document());
    OutcomeRecorder outcomes = Simulation.run(fleet, scenario, policy, limiter, arrivals, SEED);
    assertThat(outcomes.all().size(), is(arrivals.size()));
    assertThat(outcomes.heldAtEnd(), is(0));
    assertThat(outcomes.overGrantTokens(), is(0.0));
    assertThat(policy.monitor().violationCount(), is(0L));
  }
}
