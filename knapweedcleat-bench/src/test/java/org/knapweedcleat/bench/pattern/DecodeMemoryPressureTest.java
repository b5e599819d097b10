package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.room.CapacityWaitPolicy;
import org.knapweedcleat.core.stage.StageBalancer;
import org.knapweedcleat.core.stage.StageChange;

/**
 * Long answers fill the memory of decode engines while prefill engines are almost idle. Balanced
 * stages have to serve more calls on time than an even split of the engines.
 */
class DecodeMemoryPressureTest {

  private static final long DURATION_MILLIS = 60_000;
  private static final double CALLS_PER_SECOND = 11;

  @Test
  void balancedStagesServeMoreOnTimeThanEvenSplit() {
    double evenSplit = onTimeShare(engines(3));
    double balanced = onTimeShare(balanceStages(engines(3)));

    assertThat(balanced, greaterThan(evenSplit + 0.1));
  }

  @Test
  void balancedStagesServeMostCallsOnTime() {
    assertThat(onTimeShare(balanceStages(engines(3))), greaterThan(0.8));
  }

  private static double onTimeShare(List<SimulatedEngine> engines) {
    return new StreamSimulation(11, engines, (late, route) -> CapacityWaitPolicy.of(late))
        .simulate(DURATION_MILLIS, now -> CALLS_PER_SECOND)
        .onTimeShare();
  }

  private static List<SimulatedEngine> engines(int prefillCount) {
    List<SimulatedEngine> engines = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      EndpointStage stage = i < prefillCount ? EndpointStage.PREFILL : EndpointStage.DECODE;
      engines.add(new SimulatedEngine("e" + i, stage, StreamSimulation.MEMORY_TOKENS));
    }
    return engines;
  }

  private static List<SimulatedEngine> balanceStages(List<SimulatedEngine> engines) {
    StageBalancer balancer = StageBalancer.of(0.27, entry -> Optional.of(RegionId.of("r")));
    Optional<StageChange> change = balancer.nextChange(entries(engines));
    while (change.isPresent()) {
      EndpointEntry engine = change.get().engine();
      engines.removeIf(other -> other.entry().equals(engine));
      engines.add(
          new SimulatedEngine(
              engine.id().value(), change.get().stage(), StreamSimulation.MEMORY_TOKENS));
      change = balancer.nextChange(entries(engines));
    }
    return engines;
  }

  private static List<EndpointEntry> entries(List<SimulatedEngine> engines) {
    return engines.stream().map(SimulatedEngine::entry).toList();
  }
}
