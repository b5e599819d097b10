package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.room.CapacityWaitPolicy;

/** Bursts beyond the engines' memory, after which refused callers come back. */
class BurstAndReturnsTest {

  private static final long LENGTH_MILLIS = 60_000;
  private static final long BURST_EVERY_MILLIS = 11_000;
  private static final long BURST_MILLIS = 5_000;
  private static final int SEEDS = 5;

  @Test
  void callsOnTimeDoNotSufferFromThoseThatComeBack() {
    double alike = 0;
    double yielding = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      alike += play(seed, false).onTimeShare();
      yielding += play(seed, true).onTimeShare();
    }

    assertThat(yielding, greaterThanOrEqualTo(alike));
  }

  @Test
  void mostCallersAreServedInTheEnd() {
    for (int seed = 0; seed < SEEDS; seed++) {
      assertThat(play(seed, true).servedShare(), greaterThan(0.8));
    }
  }

  private static StreamLoad play(long seed, boolean yield) {
    List<SimulatedEngine> engines = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      EndpointStage stage = i < 2 ? EndpointStage.PREFILL : EndpointStage.DECODE;
      engines.add(new SimulatedEngine("e" + i, stage, StreamLoad.MEMORY_TOKENS));
    }
    return new StreamLoad(seed, engines, (late, route) -> CapacityWaitPolicy.of(late && yield))
        .play(LENGTH_MILLIS, now -> now % BURST_EVERY_MILLIS < BURST_MILLIS ? 18 : 9);
  }
}
