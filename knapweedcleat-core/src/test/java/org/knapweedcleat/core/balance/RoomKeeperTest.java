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

class RoomKeeperTest {

  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");
  private static final long LIFE_MILLIS = 14_000;
  private static final EngineProfile PROFILE = new EngineProfile(64, 10_000, 500, 13);
  private static final StreamNeed NEED =
      new StreamNeed(3_000, 4_000, true, Set.of(), 1, false, 300);
  private static final IncarnationId ONE = IncarnationId.of(InstanceId.of("one"), 1);
  private static final IncarnationId SELF = IncarnationId.of(InstanceId.of("self"), 1);
  private static final IncarnationId TWO = IncarnationId.of(InstanceId.of("two"), 1);

  private final WorkBook work = WorkBook.of(2_500);
  private final HealthBook health = HealthBook.create();
  private final RoomKeeper keeper =
      RoomKeeper.of(
          SELF,
          EndpointChooser.of(
              DomainMap.of(DOMAIN, Map.of(DOMAIN, RegionId.of("r"))), work, health, () -> 0.5),
          work,
          health);
  private final EndpointEntry reader = entry("p-1", EndpointStage.PREFILL);
  private final EndpointEntry first = entry("d-1", EndpointStage.DECODE);
  private final EndpointEntry second = entry("d-2", EndpointStage.DECODE);

  @Test
  void placesOfAllHoldersCount() {
    assertThat(place(0, ONE, "1").isPresent(), is(true));
    assertThat(place(0, TWO, "1").isPresent(), is(true));
    assertThat(place(0, ONE, "2").isPresent(), is(true));
    assertThat(place(0, TWO, "2").isPresent(), is(true));

    assertThat(place(0, ONE, "3"), is(Optional.empty()));
  }

  /** The keeper's own streams counted twice, as begun and as reserved. */
  @Test
  void ownStreamsCountOnce() {
    StreamPlacement placement = place(0, SELF, "1").orElseThrow();
    work.begin(placement.decode().id(), new EndpointWork(1, 0, 4_000));

    assertThat(work.at(placement.decode().id(), 0), is(new EndpointWork(1, 0, 4_000)));
  }

  /** A dead engine had the most room, and the keeper sent all streams there. */
  @Test
  void engineThatFailedHolderGetsNoMoreStreams() {
    for (EngineFault fault : EngineFault.values()) {
      EndpointId lost = place(0, ONE, "1").orElseThrow().decode().id();
      keeper.failed(0, lost, fault);
      keeper.ended(ONE, "1");

      assertThat(place(0, TWO, "1").orElseThrow().decode().id(), is(not(lost)));
      keeper.ended(TWO, "1");
      health.forget(lost);
    }
  }

  @Test
  void streamThatEndsLeavesItsPlace() {
    fill();
    keeper.ended(TWO, "2");

    assertThat(place(0, ONE, "3").isPresent(), is(true));
  }

  @Test
  void streamThatIsPlacedAgainGivesUpItsPlace() {
    fill();

    assertThat(place(0, ONE, "1").isPresent(), is(true));
  }

  @Test
  void holderThatEndsLeavesAllItsPlaces() {
    fill();
    keeper.ended(ONE);

    assertThat(place(0, TWO, "3").isPresent(), is(true));
    assertThat(place(0, TWO, "4").isPresent(), is(true));
    assertThat(place(0, TWO, "5"), is(Optional.empty()));
  }

  @Test
  void placeWhoseEndIsNotToldLapses() {
    fill();

    assertThat(place(LIFE_MILLIS - 1, ONE, "3"), is(Optional.empty()));
    assertThat(place(LIFE_MILLIS, ONE, "4").isPresent(), is(true));
  }

  @Test
  void laterPlaceOfRequestDoesNotLapseWithTheFirst() {
    place(0, ONE, "1");
    place(1_000, ONE, "1");
    place(LIFE_MILLIS, TWO, "9");

    assertThat(
        work.at(first.id(), LIFE_MILLIS).plus(work.at(second.id(), LIFE_MILLIS)).calls(), is(2));
  }

  @Test
  void promptsQueueAtTheirReaderUntilTheyAreRead() {
    StreamPlacement placement = place(0, ONE, "1").orElseThrow();
    assertThat(work.at(reader.id(), 0).promptTokens(), is(3_000L));
    place((long) placement.firstEventMillis(), ONE, "2");

    assertThat(work.at(reader.id(), 0).promptTokens(), is(3_000L));
  }

  @Test
  void workThatHoldersTellOfIsNotCountedTwice() {
    StreamPlacement placement = place(0, ONE, "1").orElseThrow();
    EndpointId engine = placement.decode().id();
    work.told("one", 100, Map.of(engine, new EndpointWork(1, 0, 4_200)));

    assertThat(work.at(engine, 100), is(new EndpointWork(1, 0, 4_200)));
  }

  private void fill() {
    place(0, ONE, "1");
    place(0, TWO, "1");
    place(0, ONE, "2");
    place(0, TWO, "2");
  }

  private Optional<StreamPlacement> place(long nowMillis, IncarnationId holder, String request) {
    return keeper.place(
        nowMillis,
        holder,
        request,
        LIFE_MILLIS,
        List.of(reader, first, second),
        Set.of(),
        PROFILE,
        NEED);
  }

  private static EndpointEntry entry(String id, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id), 1, ServiceId.of("notes"), "10.0.0.1", 80, DOMAIN, stage, 64, false);
  }
}
