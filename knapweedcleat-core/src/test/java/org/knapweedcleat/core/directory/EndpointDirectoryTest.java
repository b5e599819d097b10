package org.knapweedcleat.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;

class EndpointDirectoryTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");

  private final EndpointDirectory directory = EndpointDirectory.create();

  @Test
  void newestRevisionWins() {
    directory.put(entry("e1", true), at(9));

    assertThat(directory.put(entry("e1", false), at(5)), is(false));
    assertThat(directory.available(SERVICE), empty());
  }

  @Test
  void lateEntryDoesNotBringRemovedEndpointBack() {
    directory.put(entry("e1", false), at(3));
    directory.remove(EndpointId.of("e1"), at(8));

    assertThat(directory.put(entry("e1", false), at(5)), is(false));
    assertThat(directory.put(entry("e1", false), at(9)), is(true));
  }

  @Test
  void listingRemovesAbsentEntriesExceptNewerOnes() {
    directory.put(entry("old", false), at(3));
    directory.put(entry("new", false), at(12));

    List<EndpointId> absent = directory.absentFrom(List.of(), at(10));
    absent.forEach(id -> directory.remove(id, at(10)));

    assertThat(absent, contains(EndpointId.of("old")));
    assertThat(directory.available(SERVICE), contains(entry("new", false)));
  }

  @Test
  void drainingEndpointIsNotAvailable() {
    directory.put(entry("e1", false), at(1));
    directory.put(entry("e1", true), at(2));

    assertThat(directory.available(SERVICE), empty());
    assertThat(directory.position(), is(at(2)));
  }

  /** Guards against revisions of a restored store that are compared with those it has lost. */
  @Test
  void changeOfLaterEraWins() {
    directory.put(entry("changed", false), at(41));
    directory.put(entry("removed", false), at(40));
    directory.put(entry("late", false), at(42));

    assertThat(directory.put(entry("changed", true), restoredAt(12)), is(true));
    assertThat(directory.remove(EndpointId.of("removed"), restoredAt(13)), is(true));
    assertThat(directory.absentFrom(List.of(), restoredAt(13)), hasItem(EndpointId.of("late")));
    assertThat(directory.position(), is(restoredAt(13)));
  }

  /** Guards against a response of the lost store that arrives after one of the restored store. */
  @Test
  void changeOfEarlierEraIsIgnored() {
    directory.put(entry("e1", true), restoredAt(12));
    directory.remove(EndpointId.of("e2"), restoredAt(13));

    assertThat(directory.put(entry("e1", false), at(41)), is(false));
    assertThat(directory.put(entry("e2", false), at(42)), is(false));
    assertThat(directory.remove(EndpointId.of("e1"), at(43)), is(false));
    assertThat(directory.position(), is(restoredAt(13)));
  }

  /** Guards against an endpoint that is used again since the store has lost its announcement. */
  @Test
  void endpointThatIsDrainingStaysSoInLaterEra() {
    directory.put(entry("e1", false), at(10));
    directory.put(entry("e1", true), at(41));
    directory.put(entry("e1", false), restoredAt(10));

    assertThat(directory.available(SERVICE), empty());

    directory.put(entry("e1", false), StorePosition.of(3, 10));

    assertThat(directory.available(SERVICE), empty());
  }

  @Test
  void laterIncarnationOfDrainingEndpointIsAvailable() {
    directory.put(entry("e1", true), at(41));
    EndpointEntry restarted = entry("e1", 7, false);
    directory.put(restarted, restoredAt(12));

    assertThat(directory.available(SERVICE), contains(restarted));
  }

  @Test
  void entryOfRestoredStoreMayPrecedeRemovalThatItHasLost() {
    directory.put(entry("e1", false), at(20));
    directory.remove(EndpointId.of("e1"), at(41));

    assertThat(directory.mayPrecedeRemoval(entry("e1", false), restoredAt(20)), is(true));
    assertThat(directory.mayPrecedeRemoval(entry("e1", false), StorePosition.of(3, 20)), is(true));
    assertThat(directory.mayPrecedeRemoval(entry("e1", false), restoredAt(21)), is(false));
    assertThat(directory.mayPrecedeRemoval(entry("e1", 7, false), restoredAt(20)), is(false));
    assertThat(directory.mayPrecedeRemoval(entry("e1", false), at(42)), is(false));
  }

  private static StorePosition at(long revision) {
    return StorePosition.of(1, revision);
  }

  private static StorePosition restoredAt(long revision) {
    return StorePosition.of(2, revision);
  }

  private static EndpointEntry entry(String id, boolean draining) {
    return entry(id, 0, draining);
  }

  private static EndpointEntry entry(String id, long startedAtMillis, boolean draining) {
    return new EndpointEntry(
        EndpointId.of(id),
        startedAtMillis,
        SERVICE,
        "127.0.0.1",
        9000,
        FailureDomainId.of("a"),
        EndpointStage.WHOLE,
        6,
        draining);
  }
}
