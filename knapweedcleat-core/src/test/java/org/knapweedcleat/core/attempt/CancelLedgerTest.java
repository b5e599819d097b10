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

class CancelLedgerTest {

  private static final EndpointId ENDPOINT = EndpointId.of("decode");
  private static final RequestId REQUEST = RequestId.of("r");
  private static final CancelLedger.Cancel CANCEL = new CancelLedger.Cancel(ENDPOINT, REQUEST);

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final CancelLedger ledger = CancelLedger.of(monitor);

  @Test
  void repeatsOneByOneUntilConfirmed() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    assertThat(ledger.due(0), contains(CANCEL));
    assertThat(ledger.due(10_000), is(empty()));

    ledger.failed(10_000, CANCEL, false, 0);
    assertThat(ledger.due(10_000), is(empty()));
    assertThat(ledger.due(10_100), contains(CANCEL));
    assertThat(ledger.confirmed(CANCEL, 1), is(true));
    assertThat(ledger.size(), is(0));
    assertThat(ledger.confirmed(CANCEL, 1), is(false));
  }

  @Test
  void sendsAgainForLaterPlacements() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    ledger.due(0);
    ledger.add(5, ENDPOINT, REQUEST, 2);

    assertThat(ledger.confirmed(CANCEL, 1), is(false));
    assertThat(ledger.due(6), contains(CANCEL));
    assertThat(ledger.confirmed(CANCEL, 2), is(true));
  }

  @Test
  void reportsMemoryThatAnEndpointWithinReachDoesNotRelease() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    ledger.due(0);
    ledger.failed(20_000, CANCEL, true, 0);
    ledger.due(CancelLedger.CONFIRM_WITHIN_MILLIS + 1);
    assertThat(monitor.kept(), is(empty()));

    ledger.failed(40_000, CANCEL, false, 0);
    ledger.due(20_001 + CancelLedger.CONFIRM_WITHIN_MILLIS);
    ledger.due(90_000);
    assertThat(
        monitor.kept(),
        contains(new InvariantViolation(Invariant.MEMORY_RELEASED, CANCEL.toString())));
  }

  @Test
  void forgetsEndpointsThatAreNoLongerDeclared() {
    ledger.add(0, ENDPOINT, REQUEST, 1);
    ledger.forget(ENDPOINT);
    assertThat(ledger.size(), is(0));
  }
}
