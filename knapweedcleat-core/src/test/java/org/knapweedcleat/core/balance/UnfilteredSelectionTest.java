package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Guards against a changed selection in deployments without the section locality: the selections
 * and the random numbers that they draw are those of commit ff6da73.
 */
class UnfilteredSelectionTest {

  private static final int CALLS = 3_000;

  /** What that commit gives for these calls. */
  private static final int SELECTIONS_HASH = 1_237_548_375;

  private static final EngineProfile PROFILE = new EngineProfile(64, 34_000, 500, 13);
  private static final List<String> DOMAINS = List.of("a1", "a2", "b1");

  private final Random load = new Random(20261206);
  private final Random random = new Random(17);
  private final WorkloadTracker workload = WorkloadTracker.of(2_500);
  private final EndpointHealthRegistry health = EndpointHealthRegistry.create();
  private final EndpointSelector selector =
      EndpointSelector.of(
          DomainTopology.of(
              FailureDomainId.of("a1"),
              Map.of(
                  FailureDomainId.of("a1"), RegionId.of("a"),
                  FailureDomainId.of("a2"), RegionId.of("a"),
                  FailureDomainId.of("b1"), RegionId.of("b"))),
          workload,
          health,
          random::nextDouble);

  @Test
  void selectionsAndRandomNumbersAreUnchanged() {
    StringBuilder selections = new StringBuilder();
    IncarnationId allocatorId = IncarnationId.of(InstanceId.of("allocator"), 1);
    IncarnationId holder = IncarnationId.of(InstanceId.of("holder"), 1);
    StreamCapacityAllocator allocator =
        StreamCapacityAllocator.of(allocatorId, selector, workload, health);
    List<EndpointEntry> few = entries(2, EndpointStage.WHOLE);
    List<EndpointEntry> many = entries(6, EndpointStage.WHOLE);
    List<EndpointEntry> engines = new ArrayList<>(entries(4, EndpointStage.DECODE));
    engines.addAll(entries(2, EndpointStage.PREFILL));
    for (int i = 0; i < CALLS; i++) {
      long nowMillis = i * 7L;
      EndpointEntry plain =
          selector.selectForPlainCall(nowMillis, i % 2 == 0 ? few : many, Set.of()).orElseThrow();
      selections.append(plain.id()).append(' ');
      addLoad(plain);
      recordOutcome(nowMillis, plain);
      StreamRequirements requirements =
          new StreamRequirements(
              500 + load.nextInt(4_000), 5_000, i % 5 != 0, Set.of(), 0.93, i % 9 == 0, 300);
      selections
          .append(selector.placeStreamByWeight(nowMillis, engines, Set.of(), PROFILE, requirements))
          .append(
              allocator.place(
                  nowMillis, holder, "r" + i, 2_000, engines, Set.of(), PROFILE, requirements))
          .append('\n');
    }
    selections.append(random.nextLong());

    assertThat(selections.toString().hashCode(), is(SELECTIONS_HASH));
  }

  private void addLoad(EndpointEntry entry) {
    workload.update(
        "other",
        0,
        Map.of(entry.id(), new EndpointWorkload(load.nextInt(12), load.nextInt(3_000), 0)));
    workload.addLocal(entry.id(), new EndpointWorkload(1, 0, 0));
    if (load.nextInt(10) < 9) {
      workload.removeLocal(entry.id(), new EndpointWorkload(1, 0, 0));
    }
  }

  private void recordOutcome(long nowMillis, EndpointEntry entry) {
    if (load.nextInt(20) == 0) {
      health.get(entry.id()).recordFailure(nowMillis);
    } else {
      health.get(entry.id()).recordSuccess(nowMillis, 20 + load.nextInt(80));
    }
  }

  private static List<EndpointEntry> entries(int countPerDomain, EndpointStage stage) {
    List<EndpointEntry> entries = new ArrayList<>();
    for (String domain : DOMAINS) {
      for (int i = 0; i < countPerDomain; i++) {
        entries.add(
            new EndpointEntry(
                EndpointId.of(stage + "-" + domain + "-" + i),
                0,
                ServiceId.of("notes"),
                "127.0.0.1",
                9000,
                FailureDomainId.of(domain),
                stage,
                6,
                false));
      }
    }
    return entries;
  }
}
