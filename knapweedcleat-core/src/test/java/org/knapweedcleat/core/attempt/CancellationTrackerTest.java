package org.knapweedcleat.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.invariant.InvariantViolation;

class CancellationTrackerTest {

  private static final EndpointId ENDPOINT = EndpointId.of("decode");
  private static final RequestId REQUEST = RequestId.of("r");
  private static final CancellationTracker.Cancel CANCEL =
      new CancellationTracker.Cancel(ENDPOINT, REQUEST);

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final CancellationTracker tracker = CancellationTracker.of(monitor);

  @Test
  void retriesInSequenceUntilConfirmed() {
    tracker.add(0, ENDPOINT, REQUEST, 1);
    assertThat(tracker.takeDue(0), contains(CANCEL));
    assertThat(tracker.takeDue(10_000), is(empty()));

    tracker.recordFailure(10_000, CANCEL, false, 0);
    assertThat(tracker.takeDue(10_000), is(empty()));
    assertThat(tracker.takeDue(10_100), contains(CANCEL));
    assertThat(tracker.recordConfirmation(CANCEL, 1), is(true));
    assertThat(tracker.size(), is(0));
    assertThat(tracker.recordConfirmation(CANCEL, 1), is(false));
  }

  @Test
  void resendsForLaterAttempts() {
    tracker.add(0, ENDPOINT, REQUEST, 1);
    tracker.takeDue(0);
    tracker.add(5, ENDPOINT, REQUEST, 2);

    assertThat(tracker.recordConfirmation(CANCEL, 1), is(false));
    assertThat(tracker.takeDue(6), contains(CANCEL));
    assertThat(tracker.recordConfirmation(CANCEL, 2), is(true));
  }

  @Test
  void reportsReachableEndpointThatDoesNotReleaseMemory() {
    tracker.add(0, ENDPOINT, REQUEST, 1);
    tracker.takeDue(0);
    tracker.recordFailure(20_000, CANCEL, true, 0);
    tracker.takeDue(CancellationTracker.CONFIRMATION_TIMEOUT_MILLIS + 1);
    assertThat(monitor.firstViolations(), is(empty()));

    tracker.recordFailure(40_000, CANCEL, false, 0);
    tracker.takeDue(20_001 + CancellationTracker.CONFIRMATION_TIMEOUT_MILLIS);
    tracker.takeDue(90_000);
    assertThat(
        monitor.firstViolations(),
        contains(new InvariantViolation(Invariant.MEMORY_RELEASED, CANCEL.toString())));
  }

  @Test
  void removesEndpointsNoLongerConfigured() {
    tracker.add(0, ENDPOINT, REQUEST, 1);
    tracker.removeEndpoint(ENDPOINT);
    assertThat(tracker.size(), is(0));
  }
}
