package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;

class WorkloadTrackerTest {

  private static final EndpointId ENDPOINT = EndpointId.of("e1");
  private static final EndpointWorkload WORK = new EndpointWorkload(1, 100, 120);

  private final WorkloadTracker tracker = WorkloadTracker.of(1_000);

  @Test
  void addsLocalAndRemoteWork() {
    tracker.addLocal(ENDPOINT, WORK);
    tracker.update("other", 0, Map.of(ENDPOINT, WORK));

    assertThat(tracker.total(ENDPOINT, 500), is(new EndpointWorkload(2, 200, 240)));
  }

  @Test
  void newerReportReplacesOlder() {
    tracker.update("other", 0, Map.of(ENDPOINT, WORK));
    tracker.update("other", 10, Map.of());

    assertThat(tracker.total(ENDPOINT, 10), is(EndpointWorkload.NONE));
  }

  @Test
  void expiredReportDoesNotCount() {
    tracker.update("other", 0, Map.of(ENDPOINT, WORK));

    assertThat(tracker.total(ENDPOINT, 1_001), is(EndpointWorkload.NONE));
  }

  @Test
  void endedWorkIsRemoved() {
    tracker.addLocal(ENDPOINT, WORK);
    tracker.removeLocal(ENDPOINT, WORK);

    assertThat(tracker.local(), is(anEmptyMap()));
  }
}
