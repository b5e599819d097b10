package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.bench.pattern.DomainWaves.Measurement;
import org.knapweedcleat.bench.pattern.PlainWaveSimulation.Fleet;

/**
 * Demand varies in three failure domains, out of step. Keeping calls in their domain must spare
 * more than half of the crossings, without more calls that are late or refused.
 */
class DemandWavesTest {

  private static final int SEEDS = 3;

  /** Eight periods of the wave. */
  private static final long DURATION_MILLIS = 136_000;

  /** The part of today's crossings that may remain. */
  private static final double MAX_REMAINING_CROSSINGS = 0.5;

  /** How much later the first event may come on average, of the wait that may be accepted. */
  private static final double MAX_ADDED_MILLIS = 0.2 * DomainWaves.INTER_DOMAIN_COST_MILLIS;

  /** The added share of late or refused calls that is within the random variation of a run. */
  private static final double MAX_ADDED_MISSES = 0.002;

  /** Two thirds of what the engines' memory sustains, and all of it at the top of a wave. */
  private static final double STREAMS_PER_SECOND = 10;

  /**
   * Of each endpoint: three quarters of what it sustains, and more than all of it at the top of a
   * wave.
   */
  private static final double PLAIN_CALLS_PER_SECOND = 100;

  /** Guards against streams that are spread over all domains while their own has capacity. */
  @Test
  void streamsLeaveTheirDomainOnlyWhenItFills() {
    check(
        seed -> new StreamWaveSimulation(seed, false).simulate(DURATION_MILLIS, STREAMS_PER_SECOND),
        seed -> new StreamWaveSimulation(seed, true).simulate(DURATION_MILLIS, STREAMS_PER_SECOND));
  }

  /** Guards against streams that are lost for the sake of their domain while engines are scarce. */
  @Test
  void streamsLeaveTheirDomainWhenMemoryIsScarce() {
    check(
        seed ->
            new StreamWaveSimulation(seed, false)
                .simulate(DURATION_MILLIS, 1.15 * STREAMS_PER_SECOND),
        seed ->
            new StreamWaveSimulation(seed, true)
                .simulate(DURATION_MILLIS, 1.15 * STREAMS_PER_SECOND));
  }

  /** Guards against plain calls that are spread over all domains while their own has capacity. */
  @Test
  void plainCallsOfSmallFleetLeaveTheirDomainOnlyWhenItFills() {
    checkPlain(Fleet.SMALL, DURATION_MILLIS);
  }

  /** Guards against many instances that overload the endpoints of their domain by old reports. */
  @Test
  void plainCallsOfLargeFleetLeaveTheirDomainOnlyWhenItFills() {
    checkPlain(Fleet.LARGE, DURATION_MILLIS / 2);
  }

  private static void checkPlain(Fleet fleet, long durationMillis) {
    double callsPerSecond = PLAIN_CALLS_PER_SECOND * fleet.endpointsPerDomain();
    check(
        seed ->
            new PlainWaveSimulation(seed, fleet, false).simulate(durationMillis, callsPerSecond),
        seed ->
            new PlainWaveSimulation(seed, fleet, true).simulate(durationMillis, callsPerSecond));
  }

  private static void check(LongFunction<Measurement> off, LongFunction<Measurement> on) {
    Measurement before = sum(off);
    Measurement after = sum(on);
    String both = DomainWaves.describe(Map.of("off", before, "on", after));
    assertThat(
        both, after.leftShare(), lessThanOrEqualTo(before.leftShare() * MAX_REMAINING_CROSSINGS));
    assertThat(
        both, after.missedShare(), lessThanOrEqualTo(before.missedShare() + MAX_ADDED_MISSES));
    assertThat(
        both,
        after.meanFirstEventMillis(),
        lessThanOrEqualTo(before.meanFirstEventMillis() + MAX_ADDED_MILLIS));
  }

  private static Measurement sum(LongFunction<Measurement> simulation) {
    return LongStream.range(0, SEEDS)
        .mapToObj(simulation)
        .reduce(Measurement.NONE, Measurement::plus);
  }
}
