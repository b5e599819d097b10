package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

class CallLedgerTest {

  private static final EndpointId ONE = EndpointId.of("one");
  private static final EndpointId TWO = EndpointId.of("two");

  @Test
  void callThatMayHaveRunIsNotRepeatedUnlessSafe() {
    CallLedger booking = ledger(CallKind.UNSAFE, false, 3, 10);
    booking.sent(ONE);

    assertThat(booking.broken(0), is(NextStep.FAIL));
    assertThat(booking.mayHaveRun(), is(true));
  }

  @Test
  void refusedBookingGoesToAnotherEndpoint() {
    CallLedger booking = ledger(CallKind.UNSAFE, false, 1, 10);
    booking.sent(ONE);

    assertThat(booking.refused(0), is(NextStep.AGAIN));
    assertThat(booking.mayHaveRun(), is(false));
  }

  @Test
  void unsentBookingGoesToAnotherEndpointWithoutBudget() {
    CallLedger booking = ledger(CallKind.UNSAFE, false, 1, 0);
    booking.sent(ONE);

    assertThat(booking.notSent(), is(NextStep.AGAIN));
  }

  @Test
  void refusalIsTrueOnlyIfNoSendMayHaveRun() {
    CallLedger lookup = ledger(CallKind.SAFE, false, 2, 1);
    lookup.sent(ONE);
    assertThat(lookup.broken(0), is(NextStep.AGAIN));
    lookup.sent(TWO);

    assertThat(lookup.refused(0), is(NextStep.FAIL));
  }

  @Test
  void safeCallStopsAtItsRuns() {
    CallLedger lookup = ledger(CallKind.SAFE, false, 2, 10);
    lookup.sent(ONE);
    assertThat(lookup.broken(0), is(NextStep.AGAIN));
    lookup.sent(TWO);
    assertThat(lookup.canRepeat(0), is(false));

    assertThat(lookup.broken(0), is(NextStep.FAIL));
  }

  @Test
  void withoutBudgetRefusalIsPassedOn() {
    CallLedger lookup = ledger(CallKind.SAFE, false, 2, 0);
    lookup.sent(ONE);

    assertThat(lookup.refused(0), is(NextStep.REFUSE));
  }

  @Test
  void onlyResumableStreamsGoOn() {
    CallLedger resumable = ledger(CallKind.STREAM, true, 2, 10);
    resumable.sent(ONE);
    assertThat(resumable.broken(0), is(NextStep.AGAIN));

    CallLedger other = ledger(CallKind.STREAM, false, 2, 10);
    other.sent(ONE);
    assertThat(other.broken(0), is(NextStep.FAIL));
  }

  @Test
  void fourSendsAreTheMost() {
    CallLedger booking = ledger(CallKind.UNSAFE, false, 1, 100);
    for (int i = 0; i < 3; i++) {
      booking.sent(ONE);
      assertThat(booking.refused(0), is(NextStep.AGAIN));
    }
    booking.sent(ONE);

    assertThat(booking.refused(0), is(NextStep.REFUSE));
  }

  private static CallLedger ledger(CallKind kind, boolean resumable, int maxRuns, int slack) {
    ForwardRoute route =
        new ForwardRoute(
            "r",
            "h",
            "/",
            kind,
            resumable,
            true,
            1_000,
            100,
            0,
            maxRuns,
            1,
            List.of(new ServiceShare(ServiceId.of("s"), 1)));
    return CallLedger.of(route, RepeatBudget.of(0, 10_000, slack));
  }
}
