package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.room.CapacityWaitPolicy;

/** Guards against retries after a burst displacing calls that can still meet their target. */
class BurstRetryTest {

  private static final long DURATION_MILLIS = 60_000;
  private static final long BURST_INTERVAL_MILLIS = 11_000;
  private static final long BURST_MILLIS = 5_000;
  private static final int SEEDS = 5;

  @Test
  void yieldingRetriesDoNotReduceOnTimeShare() {
    double withoutYielding = 0;
    double withYielding = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      withoutYielding += simulate(seed, false).onTimeShare();
      withYielding += simulate(seed, true).onTimeShare();
    }

    assertThat(withYielding, greaterThanOrEqualTo(withoutYielding));
  }

  @Test
  void mostCallersAreEventuallyServed() {
    for (int seed = 0; seed < SEEDS; seed++) {
      assertThat(simulate(seed, true).servedShare(), greaterThan(0.8));
    }
  }

  private static StreamSimulation simulate(long seed, boolean lateCallsYield) {
    List<SimulatedEngine> engines = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      EndpointStage stage = i < 2 ? EndpointStage.PREFILL : EndpointStage.DECODE;
      engines.add(new SimulatedEngine("e" + i, stage, StreamSimulation.MEMORY_TOKENS));
    }
    return new StreamSimulation(
            seed, engines, (late, route) -> CapacityWaitPolicy.of(late && lateCallsYield))
        .simulate(DURATION_MILLIS, now -> now % BURST_INTERVAL_MILLIS < BURST_MILLIS ? 18 : 9);
  }
}
