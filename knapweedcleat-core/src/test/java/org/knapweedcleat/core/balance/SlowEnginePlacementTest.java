package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/** The first of three engines of each stage takes three times as long as the others. */
class SlowEnginePlacementTest {

  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");
  private static final EngineProfile PROFILE = new EngineProfile(64, 34_000, 500, 13);
  private static final StreamRequirements REQUIREMENTS =
      new StreamRequirements(3_000, 3_300, true, Set.of(), 0.93, false, 300);

  private final List<EndpointEntry> prefill = engines("p", EndpointStage.PREFILL);
  private final List<EndpointEntry> decode = engines("d", EndpointStage.DECODE);
  private final WorkloadTracker workload = WorkloadTracker.of(2_500);
  private final EngineSpeeds speeds = EngineSpeeds.create(EngineSpeedListener.NONE);
  private final EndpointSelector selector =
      EndpointSelector.of(
              DomainTopology.of(DOMAIN, Map.of(DOMAIN, RegionId.of("r"))),
              workload,
              EndpointHealthRegistry.create(),
              () -> 0)
          .withSpeeds(speeds);

  /** Guards against streams that a slow engine gets because it has a little more free memory. */
  @Test
  void streamGoesToFasterEnginesThoughTheyHaveMoreWork() {
    observe(0);
    for (EndpointEntry engine : List.of(prefill.get(1), prefill.get(2))) {
      workload.addLocal(engine.id(), new EndpointWorkload(1, 1_000, 0));
    }
    for (EndpointEntry engine : List.of(decode.get(1), decode.get(2))) {
      workload.addLocal(engine.id(), new EndpointWorkload(1, 0, 5_000));
    }

    StreamPlacement placement = place(0, List.of(prefill, decode)).orElseThrow();

    assertThat(placement.prefill(), is(not(Optional.of(prefill.get(0)))));
    assertThat(placement.decode(), is(not(decode.get(0))));
  }

  /** Guards against a prompt that pauses the streams of a slow engine beyond what is on time. */
  @Test
  void promptIsNotPrefilledAtSlowDecodeEngine() {
    for (EndpointEntry engine : prefill) {
      workload.addLocal(engine.id(), new EndpointWorkload(8, 30_000, 30_000));
    }
    List<List<EndpointEntry>> onlySlow = List.of(prefill, decode.subList(0, 1));
    assertThat(place(0, onlySlow).orElseThrow().prefill(), is(Optional.empty()));

    observe(1_000);

    assertThat(place(1_000, onlySlow).orElseThrow().prefill().isPresent(), is(true));
  }

  /** Guards against a slow engine that is excluded, and against one that is probed too often. */
  @Test
  void slowEngineGetsAnOccasionalStream() {
    int streams = 0;
    for (int i = 0; i < 400; i++) {
      long nowMillis = i * 100L;
      observe(nowMillis);
      StreamPlacement placement = place(nowMillis, List.of(prefill, decode)).orElseThrow();
      streams += placement.decode().equals(decode.get(0)) ? 1 : 0;
    }

    assertThat(streams > 0, is(true));
    assertThat(streams, lessThanOrEqualTo(40_000 / 3_000 + 1));
  }

  private void observe(long nowMillis) {
    for (int i = 0; i < 6; i++) {
      for (int engine = 0; engine < 3; engine++) {
        int factor = engine == 0 ? 3 : 1;
        speeds.record(nowMillis, prefill.get(engine), SpeedMeasure.PREFILL, 0.03 * factor);
        speeds.record(nowMillis, decode.get(engine), SpeedMeasure.STEP, 45 * factor);
      }
    }
  }

  private Optional<StreamPlacement> place(long nowMillis, List<List<EndpointEntry>> engines) {
    return selector.placeStreamOnBest(
        nowMillis,
        engines.stream().flatMap(List::stream).toList(),
        Set.of(),
        PROFILE,
        REQUIREMENTS);
  }

  private static List<EndpointEntry> engines(String prefix, EndpointStage stage) {
    return List.of(
        engine(prefix + "-0", stage), engine(prefix + "-1", stage), engine(prefix + "-2", stage));
  }

  private static EndpointEntry engine(String id, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id), 0, ServiceId.of("notes"), "127.0.0.1", 9000, DOMAIN, stage, 6, false);
  }
}
