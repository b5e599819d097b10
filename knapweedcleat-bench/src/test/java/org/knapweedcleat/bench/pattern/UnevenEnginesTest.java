package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/**
 * Two of six prefill engines and two of twelve decode engines of a service are slow, for good or
 * for some seconds. Guards against streams that begin late or pause because work is distributed by
 * count.
 */
class UnevenEnginesTest {

  private static final int SEEDS = 3;
  private static final long DURATION_MILLIS = 60_000;

  /** None is missed while all engines have the same speed. */
  private static final double STREAMS_PER_SECOND = 25;

  /** Less, since instances of a small fleet place by reports that are late. */
  private static final double SMALL_FLEET_STREAMS_PER_SECOND = 20;

  /** The slow engines' pauses between events are then above the 300 ms that are on time. */
  private static final double SLOW_FACTOR = 4;

  private static final int[] SLOW_ENGINES = {0, 1, 6, 7};

  @Test
  void fewerStreamsAreLateWithAllocator() {
    for (int seed = 0; seed < SEEDS; seed++) {
      UnevenEngineSimulation off = uneven(seed, true, false);
      UnevenEngineSimulation on = uneven(seed, true, true);

      assertThat(figures(off, on), on.missedShare(), lessThanOrEqualTo(off.missedShare() / 2));
    }
  }

  @Test
  void fewerStreamsAreLateInSmallFleet() {
    for (int seed = 0; seed < SEEDS; seed++) {
      UnevenEngineSimulation off = uneven(seed, false, false);
      UnevenEngineSimulation on = uneven(seed, false, true);

      assertThat(figures(off, on), on.missedShare(), lessThan(off.missedShare()));
    }
  }

  /** Guards against a slow engine that gets no call to show that it has recovered. */
  @Test
  void slowEnginesKeepLessWorkThanOthers() {
    for (int seed = 0; seed < SEEDS; seed++) {
      UnevenEngineSimulation on = uneven(seed, true, true);

      for (int slow : SLOW_ENGINES) {
        int normal = slow < UnevenEngineSimulation.PREFILL_ENGINES ? 2 : 8;
        assertThat(on.streamsAt(slow), greaterThan(3));
        assertThat(on.streamsAt(slow), lessThan(on.streamsAt(normal) / 2));
      }
    }
  }

  /** Guards against engines that are spared after they have recovered. */
  @Test
  void recoveredEnginesGetTheirShareAgain() {
    for (int seed = 0; seed < SEEDS; seed++) {
      UnevenEngineSimulation on = new UnevenEngineSimulation(seed, true, true);
      for (int engine : SLOW_ENGINES) {
        on.slowDown(engine, SLOW_FACTOR, 0).slowDown(engine, 1, DURATION_MILLIS / 6.0);
      }
      on.run(DURATION_MILLIS, STREAMS_PER_SECOND);

      for (int slow : SLOW_ENGINES) {
        int normal = slow < UnevenEngineSimulation.PREFILL_ENGINES ? 2 : 8;
        assertThat(on.streamsAt(slow), greaterThan(on.streamsAt(normal) / 2));
      }
    }
  }

  /** Guards against delays of links and instances that change placements at even engines. */
  @Test
  void placementsAtEvenEnginesAreTheSame() {
    for (int seed = 0; seed < SEEDS; seed++) {
      for (boolean hasAllocator : new boolean[] {true, false}) {
        UnevenEngineSimulation off =
            new UnevenEngineSimulation(seed, hasAllocator, false)
                .run(DURATION_MILLIS, STREAMS_PER_SECOND);
        UnevenEngineSimulation on =
            new UnevenEngineSimulation(seed, hasAllocator, true)
                .run(DURATION_MILLIS, STREAMS_PER_SECOND);

        assertThat(on.placements().equals(off.placements()), is(true));
      }
    }
  }

  private static UnevenEngineSimulation uneven(
      long seed, boolean hasAllocator, boolean usesSpeeds) {
    UnevenEngineSimulation simulation = new UnevenEngineSimulation(seed, hasAllocator, usesSpeeds);
    for (int engine : SLOW_ENGINES) {
      simulation.slowDown(engine, SLOW_FACTOR, 0);
    }
    return simulation.run(
        DURATION_MILLIS, hasAllocator ? STREAMS_PER_SECOND : SMALL_FLEET_STREAMS_PER_SECOND);
  }

  private static String figures(UnevenEngineSimulation off, UnevenEngineSimulation on) {
    return String.format("missed off %.3f, on %.3f", off.missedShare(), on.missedShare());
  }
}
