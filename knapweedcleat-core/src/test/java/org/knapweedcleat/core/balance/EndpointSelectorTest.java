package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

class EndpointSelectorTest {

  private static final EngineProfile PROFILE = new EngineProfile(64, 34_000, 500, 13);
  private static final StreamRequirements REQUIREMENTS =
      new StreamRequirements(3_000, 3_300, true, Set.of(), 0.93, false, 300);

  private final WorkloadTracker workload = WorkloadTracker.of(1_000);
  private final EndpointHealthRegistry health = EndpointHealthRegistry.create();
  private final EndpointSelector selector =
      EndpointSelector.of(
          DomainTopology.of(
              FailureDomainId.of("near"),
              Map.of(
                  FailureDomainId.of("near"), RegionId.of("r1"),
                  FailureDomainId.of("beside"), RegionId.of("r1"),
                  FailureDomainId.of("far"), RegionId.of("r2"))),
          workload,
          health,
          () -> 0);

  private final EndpointEntry nearPrefill = engine("p-near", "near", EndpointStage.PREFILL);
  private final EndpointEntry nearDecode = engine("d-near", "near", EndpointStage.DECODE);
  private final EndpointEntry farDecode = engine("d-far", "far", EndpointStage.DECODE);
  private final List<EndpointEntry> engines = List.of(nearPrefill, nearDecode, farDecode);

  @Test
  void plainCallGoesToNearestIdleEndpoint() {
    EndpointEntry near = engine("near", "near", EndpointStage.WHOLE);
    EndpointEntry far = engine("far", "far", EndpointStage.WHOLE);

    assertThat(selector.selectForPlainCall(0, List.of(far, near), Set.of()), is(Optional.of(near)));
  }

  @Test
  void plainCallGoesToFarEndpointWhenNearIsFull() {
    EndpointEntry near = engine("near", "near", EndpointStage.WHOLE);
    EndpointEntry far = engine("far", "far", EndpointStage.WHOLE);
    workload.addLocal(near.id(), new EndpointWorkload(20, 0, 0));

    assertThat(selector.selectForPlainCall(0, List.of(far, near), Set.of()), is(Optional.of(far)));
  }

  @Test
  void warmEndpointsArePreferredUntilTheyAreFull() {
    EndpointEntry cold = engine("cold", "near", EndpointStage.WHOLE);
    EndpointEntry warm = engine("warm", "far", EndpointStage.WHOLE);
    EndpointSelector warmFirst = selector.preferringWarm(cold::equals);

    assertThat(
        warmFirst.selectForPlainCall(0, List.of(cold, warm), Set.of()), is(Optional.of(warm)));
    workload.addLocal(warm.id(), new EndpointWorkload(6_400, 0, 0));
    assertThat(
        warmFirst.selectForPlainCall(0, List.of(cold, warm), Set.of()), is(Optional.of(cold)));
  }

  /** Guards against streams on a cold engine, by its free memory, beside a warm one. */
  @Test
  void streamGoesToWarmEngineAmongFewAndMany() {
    List<EndpointEntry> decodeEngines =
        IntStream.range(0, 10)
            .mapToObj(i -> engine("d-" + i, "near", EndpointStage.DECODE))
            .toList();
    EndpointEntry warm = decodeEngines.get(9);
    workload.addLocal(warm.id(), new EndpointWorkload(1, 0, 20_000));
    EndpointSelector warmFirst = selector.preferringWarm(entry -> !entry.equals(warm));

    for (List<EndpointEntry> candidates : List.of(decodeEngines, decodeEngines.subList(6, 10))) {
      assertThat(
          warmFirst
              .placeStreamByWeight(0, candidates, Set.of(), PROFILE, REQUIREMENTS)
              .map(StreamPlacement::decode),
          is(Optional.of(warm)));
    }
  }

  /** Guards against sampling plain endpoints uniformly, regardless of their workload. */
  @Test
  void fullEndpointsAmongManyAreRarelySelected() {
    List<EndpointEntry> endpoints =
        IntStream.range(0, 10)
            .mapToObj(i -> engine("e-" + i, "near", EndpointStage.WHOLE))
            .toList();
    endpoints
        .subList(0, 5)
        .forEach(endpoint -> workload.addLocal(endpoint.id(), new EndpointWorkload(640, 0, 0)));
    Random random = new Random(20261204);
    EndpointSelector samplingSelector =
        EndpointSelector.of(
            DomainTopology.of(
                FailureDomainId.of("near"), Map.of(FailureDomainId.of("near"), RegionId.of("r1"))),
            workload,
            health,
            random::nextDouble);

    long selectedFull =
        IntStream.range(0, 1_000)
            .mapToObj(
                i -> samplingSelector.selectForPlainCall(0, endpoints, Set.of()).orElseThrow())
            .filter(endpoint -> endpoints.indexOf(endpoint) < 5)
            .count();

    assertThat(selectedFull, lessThan(200L));
  }

  @Test
  void streamIsSplitWithinDomain() {
    StreamPlacement placement = place(REQUIREMENTS).get();

    assertThat(placement.prefill(), is(Optional.of(nearPrefill)));
    assertThat(placement.decode(), is(nearDecode));
  }

  @Test
  void decodeEnginePrefillsWhenPrefillEnginesAreBusy() {
    workload.addLocal(nearPrefill.id(), new EndpointWorkload(8, 30_000, 30_000));

    assertThat(place(REQUIREMENTS).get().prefill(), is(Optional.empty()));
  }

  @Test
  void longPromptIsNotPrefilledBesideRunningStreams() {
    workload.addLocal(nearPrefill.id(), new EndpointWorkload(8, 30_000, 30_000));
    workload.addLocal(nearDecode.id(), new EndpointWorkload(1, 0, 3_000));
    workload.addLocal(farDecode.id(), new EndpointWorkload(1, 0, 3_000));
    StreamRequirements longPrompt =
        new StreamRequirements(5_000, 5_300, true, Set.of(), 0.93, false, 300);

    assertThat(place(longPrompt).get().prefill(), is(Optional.of(nearPrefill)));
  }

  @Test
  void longPromptIsNotPrefilledOnSeeminglyIdleDecodeEngine() {
    workload.addLocal(nearPrefill.id(), new EndpointWorkload(8, 30_000, 30_000));
    StreamRequirements longPrompt =
        new StreamRequirements(5_000, 5_300, true, Set.of(), 0.93, false, 300);

    assertThat(place(longPrompt).get().prefill(), is(Optional.of(nearPrefill)));
  }

  @Test
  void queuedPromptsCountTowardsPauseOfRunningStreams() {
    workload.addLocal(nearPrefill.id(), new EndpointWorkload(8, 30_000, 30_000));
    workload.addLocal(nearDecode.id(), new EndpointWorkload(2, 2_000, 5_000));
    workload.addLocal(farDecode.id(), new EndpointWorkload(2, 2_000, 5_000));

    assertThat(place(REQUIREMENTS).get().prefill(), is(Optional.of(nearPrefill)));
  }

  @Test
  void failedPrefillEngineIsNotUsedAgain() {
    EndpointEntry other = engine("p-far", "far", EndpointStage.PREFILL);
    StreamRequirements retry =
        new StreamRequirements(3_000, 3_300, true, Set.of(nearPrefill.id()), 0.93, false, 300);
    workload.addLocal(nearDecode.id(), new EndpointWorkload(2, 2_000, 5_000));
    workload.addLocal(farDecode.id(), new EndpointWorkload(2, 2_000, 5_000));

    Optional<StreamPlacement> placement =
        selector.placeStreamByWeight(
            0, List.of(nearPrefill, other, nearDecode, farDecode), Set.of(), PROFILE, retry);

    assertThat(placement.get().prefill(), is(Optional.of(other)));
  }

  @Test
  void decodeEnginePrefillsWhenEveryPrefillEngineFailed() {
    StreamRequirements retry =
        new StreamRequirements(3_000, 3_300, true, Set.of(nearPrefill.id()), 0.93, false, 300);

    assertThat(place(retry).get().prefill(), is(Optional.empty()));
  }

  @Test
  void fullEnginesAreNotSelected() {
    EndpointWorkload full = new EndpointWorkload(9, 0, 31_000);
    workload.addLocal(nearDecode.id(), full);
    assertThat(place(REQUIREMENTS).get().decode(), is(farDecode));

    workload.addLocal(farDecode.id(), full);
    assertThat(place(REQUIREMENTS), is(Optional.empty()));
  }

  @Test
  void resumedStreamIsPlacedWithoutCapacity() {
    EndpointWorkload full = new EndpointWorkload(9, 0, 34_000);
    workload.addLocal(nearDecode.id(), full);
    workload.addLocal(farDecode.id(), full);

    assertThat(
        place(new StreamRequirements(3_000, 3_300, false, Set.of(), 0.93, true, 300))
            .get()
            .decode(),
        is(nearDecode));
  }

  @Test
  void unreachableEngineIsSkippedEvenIfOthersAreFull() {
    health.get(nearDecode.id()).markUnreachable();
    workload.addLocal(farDecode.id(), new EndpointWorkload(9, 0, 34_000));

    assertThat(place(REQUIREMENTS), is(Optional.empty()));
  }

  @Test
  void triedEngineIsSkippedWhileAnotherIsUntried() {
    Optional<StreamPlacement> placement =
        selector.placeStreamByWeight(0, engines, Set.of(nearDecode.id()), PROFILE, REQUIREMENTS);

    assertThat(placement.get().decode(), is(farDecode));
  }

  private Optional<StreamPlacement> place(StreamRequirements requirements) {
    return selector.placeStreamByWeight(0, engines, Set.of(), PROFILE, requirements);
  }

  private static EndpointEntry engine(String id, String domain, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id),
        0,
        ServiceId.of("notes"),
        "127.0.0.1",
        9000,
        FailureDomainId.of(domain),
        stage,
        6,
        false);
  }
}
