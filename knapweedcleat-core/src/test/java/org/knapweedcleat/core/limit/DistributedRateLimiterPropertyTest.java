package org.knapweedcleat.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Simulates fleets under random faults; {@link GrantChecker} defines the checked properties. */
class DistributedRateLimiterPropertyTest {

  private static final long RUN_MILLIS = 120_000;
  private static final long FAULTS_FROM_MILLIS = 15_000;
  private static final long FAULTS_TO_MILLIS = 100_000;
  private static final long MILLIS_PER_MINUTE = 60_000;

  @Property(
      seed = "20261204",
      tries = 40,
      shrinking = ShrinkingMode.OFF,
      edgeCases = EdgeCasesMode.NONE)
  void neverExceedsRateAndBurst(@ForAll long seed) {
    checkRun(seed);
  }

  /**
   * Regression test: an incarnation that was replaced while paused took its share again, based on
   * the view from before the pause.
   */
  @Test
  void ownsNoShareOnViewFromBeforePause() {
    checkRun(50_154);
  }

  @Test
  void deniesFewerFalselyThanFixedShares() {
    SimulatedFleet fleet = RandomFleetScenario.fleet(3, 2 * RUN_MILLIS, 0);
    fleet.falseDenials().countFrom(FAULTS_FROM_MILLIS);
    fleet.run(RUN_MILLIS);
    System.out.println("without faults: " + fleet.falseDenials());
    assertThat(fleet.grantChecker().violations(), is(empty()));
    long wrongful = fleet.falseDenials().falseDenials();
    assertThat(wrongful, is(lessThan(fleet.falseDenials().baselineFalseDenials() / 2)));
  }

  @Tag("long")
  @Test
  void neverExceedsLimitsInLongRuns() {
    long seed = Long.getLong("knapweedcleat.long.seed", 1);
    long minutes = Long.getLong("knapweedcleat.long.minutes", 1);
    long endMillis = System.currentTimeMillis() + minutes * MILLIS_PER_MINUTE;
    long runs = 0;
    while (System.currentTimeMillis() < endMillis) {
      checkRun(seed + runs);
      runs++;
    }
    System.out.println("distributed rate limiter: " + runs + " runs from seed " + seed);
    assertThat(runs, is(greaterThan(0L)));
  }

  private static void checkRun(long seed) {
    SimulatedFleet fleet = RandomFleetScenario.fleet(seed, FAULTS_FROM_MILLIS, FAULTS_TO_MILLIS);
    fleet.run(RUN_MILLIS);
    assertThat("seed " + seed, fleet.grantChecker().violations(), is(empty()));
    for (SimulatedInstance instance : fleet.allInstances()) {
      assertThat("seed " + seed, instance.monitor().firstViolations(), is(empty()));
    }
    System.out.println("seed " + seed + ": " + fleet.falseDenials());
  }
}
