package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.room.CapacityWaitPolicy;

/**
 * Many instances place calls by workload reports of each other that are up to a second old. Stale
 * reports must not cause more refusals than random placement.
 */
class StaleWorkloadReportsTest {

  private static final int INSTANCES = 95;
  private static final int PREFILL_ENGINES = 20;
  private static final int DECODE_ENGINES = 54;
  private static final long GOSSIP_INTERVAL_MILLIS = 1_000;
  private static final int SEEDS = 5;

  /** The maximum share of decode requests that may be refused after their prefill. */
  private static final double MAX_REFUSED_SHARE = 0.02;

  private static final long DURATION_MILLIS = 20_000;

  /** About 70 % of the rate that the memory of the decode engines can sustain. */
  private static final double CALLS_PER_SECOND = 100;

  @Test
  void staleReportsAreNoWorseThanRandomPlacement() {
    double refusedWithRandomPlacement = 0;
    double refusedWithStaleReports = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      refusedWithRandomPlacement += refusedShare(simulation(seed).placeRandomly());
      refusedWithStaleReports += refusedShare(simulation(seed));
    }

    assertThat(refusedWithStaleReports, lessThanOrEqualTo(refusedWithRandomPlacement));
  }

  /** Guards against engines that refuse a quarter of the calls after their prefill. */
  @Test
  void centralAllocatorIsRarelyRefused() {
    double refusedShareSum = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      refusedShareSum += refusedShare(simulation(seed).useCentralAllocator());
    }

    assertThat(refusedShareSum / SEEDS, lessThanOrEqualTo(MAX_REFUSED_SHARE));
  }

  private static double refusedShare(StreamSimulation simulation) {
    return simulation.simulate(DURATION_MILLIS, now -> CALLS_PER_SECOND).refusedShare();
  }

  private static StreamSimulation simulation(int seed) {
    List<SimulatedEngine> engines = new ArrayList<>();
    for (int i = 0; i < PREFILL_ENGINES + DECODE_ENGINES; i++) {
      EndpointStage stage = i < PREFILL_ENGINES ? EndpointStage.PREFILL : EndpointStage.DECODE;
      engines.add(new SimulatedEngine("e" + i, stage, 29_887));
    }
    return new StreamSimulation(
        seed,
        engines,
        (late, route) -> CapacityWaitPolicy.of(late),
        INSTANCES,
        GOSSIP_INTERVAL_MILLIS);
  }
}
