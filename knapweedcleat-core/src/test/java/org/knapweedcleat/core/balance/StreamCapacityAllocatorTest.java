package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
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
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

class StreamCapacityAllocatorTest {

  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");
  private static final long MAX_DURATION_MILLIS = 14_000;
  private static final EngineProfile PROFILE = new EngineProfile(64, 10_000, 500, 13);
  private static final StreamRequirements REQUIREMENTS =
      new StreamRequirements(3_000, 4_000, true, Set.of(), 1, false, 300);
  private static final IncarnationId ONE = IncarnationId.of(InstanceId.of("one"), 1);
  private static final IncarnationId LOCAL = IncarnationId.of(InstanceId.of("self"), 1);
  private static final IncarnationId TWO = IncarnationId.of(InstanceId.of("two"), 1);

  private final WorkloadTracker workload = WorkloadTracker.of(2_500);
  private final EndpointHealthRegistry health = EndpointHealthRegistry.create();
  private final StreamCapacityAllocator allocator =
      StreamCapacityAllocator.of(
          LOCAL,
          EndpointSelector.of(
              DomainTopology.of(DOMAIN, Map.of(DOMAIN, RegionId.of("r"))),
              workload,
              health,
              () -> 0.5),
          workload,
          health);
  private final EndpointEntry prefill = entry("p-1", EndpointStage.PREFILL);
  private final EndpointEntry firstDecode = entry("d-1", EndpointStage.DECODE);
  private final EndpointEntry secondDecode = entry("d-2", EndpointStage.DECODE);

  @Test
  void reservationsOfAllHoldersCount() {
    assertThat(place(0, ONE, "1").isPresent(), is(true));
    assertThat(place(0, TWO, "1").isPresent(), is(true));
    assertThat(place(0, ONE, "2").isPresent(), is(true));
    assertThat(place(0, TWO, "2").isPresent(), is(true));

    assertThat(place(0, ONE, "3"), is(Optional.empty()));
  }

  /** Guards against counting local streams twice: as tracked and as reserved. */
  @Test
  void localStreamsCountOnce() {
    StreamPlacement placement = place(0, LOCAL, "1").orElseThrow();
    workload.addLocal(placement.decode().id(), new EndpointWorkload(1, 0, 4_000));

    assertThat(workload.total(placement.decode().id(), 0), is(new EndpointWorkload(1, 0, 4_000)));
  }

  /**
   * Guards against sending all streams to a stopped engine, which seems to have the most capacity.
   */
  @Test
  void failedEngineGetsNoMoreStreams() {
    for (EngineFault fault : EngineFault.values()) {
      EndpointId failed = place(0, ONE, "1").orElseThrow().decode().id();
      allocator.recordFault(0, failed, fault);
      allocator.release(ONE, "1");

      assertThat(place(0, TWO, "1").orElseThrow().decode().id(), is(not(failed)));
      allocator.release(TWO, "1");
      health.forget(failed);
    }
  }

  @Test
  void endedStreamReleasesCapacity() {
    fill();
    allocator.release(TWO, "2");

    assertThat(place(0, ONE, "3").isPresent(), is(true));
  }

  @Test
  void replacedStreamReleasesCapacity() {
    fill();

    assertThat(place(0, ONE, "1").isPresent(), is(true));
  }

  @Test
  void endedHolderReleasesAllCapacity() {
    fill();
    allocator.release(ONE);

    assertThat(place(0, TWO, "3").isPresent(), is(true));
    assertThat(place(0, TWO, "4").isPresent(), is(true));
    assertThat(place(0, TWO, "5"), is(Optional.empty()));
  }

  @Test
  void unreleasedReservationExpires() {
    fill();

    assertThat(place(MAX_DURATION_MILLIS - 1, ONE, "3"), is(Optional.empty()));
    assertThat(place(MAX_DURATION_MILLIS, ONE, "4").isPresent(), is(true));
  }

  @Test
  void newerReservationDoesNotExpireWithOlder() {
    place(0, ONE, "1");
    place(1_000, ONE, "1");
    place(MAX_DURATION_MILLIS, TWO, "9");

    assertThat(
        workload
            .total(firstDecode.id(), MAX_DURATION_MILLIS)
            .plus(workload.total(secondDecode.id(), MAX_DURATION_MILLIS))
            .calls(),
        is(2));
  }

  @Test
  void promptsStayQueuedUntilPrefilled() {
    StreamPlacement placement = place(0, ONE, "1").orElseThrow();
    assertThat(workload.total(prefill.id(), 0).promptTokens(), is(3_000L));
    place((long) placement.expectedFirstEventMillis(), ONE, "2");

    assertThat(workload.total(prefill.id(), 0).promptTokens(), is(3_000L));
  }

  @Test
  void reservedAndReportedWorkCountsOnce() {
    StreamPlacement placement = place(0, ONE, "1").orElseThrow();
    EndpointId engine = placement.decode().id();
    workload.update("one", 100, Map.of(engine, new EndpointWorkload(1, 0, 4_200)));

    assertThat(workload.total(engine, 100), is(new EndpointWorkload(1, 0, 4_200)));
  }

  private void fill() {
    place(0, ONE, "1");
    place(0, TWO, "1");
    place(0, ONE, "2");
    place(0, TWO, "2");
  }

  private Optional<StreamPlacement> place(long nowMillis, IncarnationId holder, String request) {
    return allocator.place(
        nowMillis,
        holder,
        request,
        MAX_DURATION_MILLIS,
        List.of(prefill, firstDecode, secondDecode),
        Set.of(),
        PROFILE,
        REQUIREMENTS);
  }

  private static EndpointEntry entry(String id, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id), 1, ServiceId.of("notes"), "10.0.0.1", 80, DOMAIN, stage, 64, false);
  }
}
