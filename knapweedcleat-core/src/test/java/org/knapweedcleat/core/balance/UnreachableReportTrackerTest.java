package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

class UnreachableReportTrackerTest {

  private static final IncarnationId ISOLATED = IncarnationId.of(InstanceId.of("cut-off"), 1);
  private static final EndpointId ENGINE = EndpointId.of("e-1");

  private final UnreachableReportTracker tracker = UnreachableReportTracker.create();

  @Test
  void repeatedReportOfIsolatedInstanceCountsOnce() {
    assertThat(tracker.update(ISOLATED, Set.of(ENGINE)), contains(ENGINE));

    for (int repetition = 0; repetition < 100; repetition++) {
      assertThat(tracker.update(ISOLATED, Set.of(ENGINE)), empty());
    }
  }

  @Test
  void endpointLostAgainIsReportedAgain() {
    tracker.update(ISOLATED, Set.of(ENGINE));
    tracker.update(ISOLATED, Set.of());

    assertThat(tracker.update(ISOLATED, Set.of(ENGINE)), contains(ENGINE));
  }

  @Test
  void newIncarnationIsReportedAgain() {
    tracker.update(ISOLATED, Set.of(ENGINE));
    tracker.forget(ISOLATED);

    assertThat(tracker.update(ISOLATED, Set.of(ENGINE)), contains(ENGINE));
  }
}
