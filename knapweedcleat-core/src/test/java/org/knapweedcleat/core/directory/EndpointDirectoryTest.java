package org.knapweedcleat.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

class EndpointDirectoryTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");

  private final EndpointDirectory directory = EndpointDirectory.create();

  @Test
  void newestRevisionWins() {
    directory.put(entry("e1", true), 9);

    assertThat(directory.put(entry("e1", false), 5), is(false));
    assertThat(directory.available(SERVICE), empty());
  }

  @Test
  void lateEntryDoesNotBringRemovedEndpointBack() {
    directory.put(entry("e1", false), 3);
    directory.remove(EndpointId.of("e1"), 8);

    assertThat(directory.put(entry("e1", false), 5), is(false));
    assertThat(directory.put(entry("e1", false), 9), is(true));
  }

  @Test
  void listingRemovesAbsentEntriesExceptNewerOnes() {
    directory.put(entry("old", false), 3);
    directory.put(entry("new", false), 12);

    List<EndpointId> absent = directory.absentFrom(List.of(), 10);
    absent.forEach(id -> directory.remove(id, 10));

    assertThat(absent, contains(EndpointId.of("old")));
    assertThat(directory.available(SERVICE), contains(entry("new", false)));
  }

  @Test
  void drainingEndpointIsNotAvailable() {
    directory.put(entry("e1", false), 1);
    directory.put(entry("e1", true), 2);

    assertThat(directory.available(SERVICE), empty());
    assertThat(directory.revision(), is(2L));
  }

  private static EndpointEntry entry(String id, boolean draining) {
    return new EndpointEntry(
        EndpointId.of(id),
        0,
        SERVICE,
        "127.0.0.1",
        9000,
        FailureDomainId.of("a"),
        EndpointStage.WHOLE,
        6,
        draining);
  }
}
