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
  private static final CancellationTracker.Cancel CANCEL = new CancellationTracker.Cancel(ENDPOINT, REQUEST);

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final CancellationTracker ledger = CancellationTracker.of(monitor);

  @Test
  void repeatsOneByOneUntilConfirmed() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    assertThat(ledger.takeDue(0), contains(CANCEL));
    assertThat(ledger.takeDue(10_000), is(empty()));

    ledger.recordFailure(10_000, CANCEL, false, 0);
    assertThat(ledger.takeDue(10_000), is(empty()));
    assertThat(ledger.takeDue(10_100), contains(CANCEL));
    assertThat(ledger.recordConfirmation(CANCEL, 1), is(true));
    assertThat(ledger.size(), is(0));
    assertThat(ledger.recordConfirmation(CANCEL, 1), is(false));
  }

  @Test
  void sendsAgainForLaterPlacements() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    ledger.takeDue(0);
    ledger.add(5, ENDPOINT, REQUEST, 2);

    assertThat(ledger.recordConfirmation(CANCEL, 1), is(false));
    assertThat(ledger.takeDue(6), contains(CANCEL));
    assertThat(ledger.recordConfirmation(CANCEL, 2), is(true));
  }

  @Test
  void reportsMemoryThatAnEndpointWithinReachDoesNotRelease() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    ledger.takeDue(0);
    ledger.recordFailure(20_000, CANCEL, true, 0);
    ledger.takeDue(CancellationTracker.CONFIRMATION_TIMEOUT_MILLIS + 1);
    assertThat(monitor.firstViolations(), is(empty()));

    ledger.recordFailure(40_000, CANCEL, false, 0);
    ledger.takeDue(20_001 + CancellationTracker.CONFIRMATION_TIMEOUT_MILLIS);
    ledger.takeDue(90_000);
    assertThat(
        monitor.firstViolations(),
        contains(new InvariantViolation(Invariant.MEMORY_RELEASED, CANCEL.toString())));
  }

  @Test
  void forgetsEndpointsThatAreNoLongerDeclared() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    ledger.removeEndpoint(ENDPOINT);
    assertThat(ledger.size(), is(0));
  }
}
