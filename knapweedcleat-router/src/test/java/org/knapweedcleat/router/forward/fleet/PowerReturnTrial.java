package org.knapweedcleat.router.forward.fleet;

import org.junit.jupiter.api.Test;

/**
 * Callers that have waited return while all instances of a large fleet start. Prints the outcomes
 * with and without the limit after a start; run with {@code -Dtest=PowerReturnTrial}.
 */
class PowerReturnTrial {

  private static final int INSTANCES = 75;
  private static final int DECODE_ENGINES = 36;
  private static final int PREFILL_ENGINES = 24;
  private static final double CALLS_PER_SECOND = 60;
  private static final long BURST_MILLIS = 1_500;
  private static final long DURATION_MILLIS = 4_000;
  private static final int BURST = 800;

  @Test
  void printOutcomes() {
    for (long startMillis : new long[] {1_000, 2_500}) {
      for (long seed = 0; seed < 2; seed++) {
        print(startMillis, seed, false);
        print(startMillis, seed, true);
      }
    }
  }

  private static void print(long startMillis, long seed, boolean limited) {
    PowerReturnSimulation.Outcome outcome =
        new PowerReturnSimulation(seed, INSTANCES, PREFILL_ENGINES, DECODE_ENGINES, limited)
            .simulate(startMillis, BURST, BURST_MILLIS, CALLS_PER_SECOND, DURATION_MILLIS);
    System.out.println(
        "start within "
            + startMillis
            + " ms, seed "
            + seed
            + ", limited "
            + limited
            + ": "
            + outcome);
  }
}
