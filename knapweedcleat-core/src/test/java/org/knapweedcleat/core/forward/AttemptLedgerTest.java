package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

class AttemptLedgerTest {

  private static final EndpointId ONE = EndpointId.of("one");
  private static final EndpointId TWO = EndpointId.of("two");

  @Test
  void unsafeCallThatMayHaveRunIsNotRetried() {
    AttemptLedger booking = ledger(CallKind.UNSAFE, false, 3, 10);
    booking.recordSend(ONE);

    assertThat(booking.onFailed(0), is(RetryDecision.FAIL));
    assertThat(booking.mayHaveRun(), is(true));
  }

  @Test
  void refusedUnsafeCallIsRetried() {
    AttemptLedger booking = ledger(CallKind.UNSAFE, false, 1, 10);
    booking.recordSend(ONE);

    assertThat(booking.onRefused(0), is(RetryDecision.AGAIN));
    assertThat(booking.mayHaveRun(), is(false));
  }

  @Test
  void unsentUnsafeCallIsRetriedWithoutBudget() {
    AttemptLedger booking = ledger(CallKind.UNSAFE, false, 1, 0);
    booking.recordSend(ONE);

    assertThat(booking.onNotSent(), is(RetryDecision.AGAIN));
  }

  @Test
  void callIsRefusedOnlyIfNoAttemptMayHaveRun() {
    AttemptLedger lookup = ledger(CallKind.SAFE, false, 2, 1);
    lookup.recordSend(ONE);
    assertThat(lookup.onFailed(0), is(RetryDecision.AGAIN));
    lookup.recordSend(TWO);

    assertThat(lookup.onRefused(0), is(RetryDecision.FAIL));
  }

  @Test
  void safeCallRunsAtMostMaxRunsTimes() {
    AttemptLedger lookup = ledger(CallKind.SAFE, false, 2, 10);
    lookup.recordSend(ONE);
    assertThat(lookup.onFailed(0), is(RetryDecision.AGAIN));
    lookup.recordSend(TWO);
    assertThat(lookup.canRetry(0), is(false));

    assertThat(lookup.onFailed(0), is(RetryDecision.FAIL));
  }

  @Test
  void refusalIsPassedOnWithoutBudget() {
    AttemptLedger lookup = ledger(CallKind.SAFE, false, 2, 0);
    lookup.recordSend(ONE);

    assertThat(lookup.onRefused(0), is(RetryDecision.REFUSE));
  }

  @Test
  void onlyResumableStreamsAreRetried() {
    AttemptLedger resumable = ledger(CallKind.STREAM, true, 2, 10);
    resumable.recordSend(ONE);
    assertThat(resumable.onFailed(0), is(RetryDecision.AGAIN));

    AttemptLedger other = ledger(CallKind.STREAM, false, 2, 10);
    other.recordSend(ONE);
    assertThat(other.onFailed(0), is(RetryDecision.FAIL));
  }

  @Test
  void callIsSentAtMostFourTimes() {
    AttemptLedger booking = ledger(CallKind.UNSAFE, false, 1, 100);
    for (int i = 0; i < 3; i++) {
      booking.recordSend(ONE);
      assertThat(booking.onRefused(0), is(RetryDecision.AGAIN));
    }
    booking.recordSend(ONE);

    assertThat(booking.onRefused(0), is(RetryDecision.REFUSE));
  }

  @Test
  void runAfterAcceptedPrefillIsFree() {
    AttemptLedger note = ledger(CallKind.STREAM, true, 2, 0);
    assertThat(note.tryReservePrefill(0), is(true));
    note.recordPrefillSent();
    note.recordPrefillAccepted();

    assertThat(note.tryReserveRun(0), is(true));
    note.recordSend(ONE);
    assertThat(note.onRefused(0), is(RetryDecision.REFUSE));
  }

  /** The run after a refused read reached an endpoint without a repeat. */
  @Test
  void runAfterRefusedPrefillIsRetry() {
    AttemptLedger note = ledger(CallKind.STREAM, true, 2, 0);
    assertThat(note.tryReservePrefill(0), is(true));
    note.recordPrefillSent();

    assertThat(note.tryReservePrefill(0), is(false));
    assertThat(note.tryReserveRun(0), is(false));
  }

  @Test
  void secondPrefillReservesItsRunToo() {
    AttemptLedger note = ledger(CallKind.STREAM, true, 2, 2);
    assertThat(note.tryReservePrefill(0), is(true));
    note.recordPrefillSent();
    note.recordPrefillAccepted();
    note.recordSend(ONE);
    assertThat(note.onRefused(0), is(RetryDecision.AGAIN));
    assertThat(note.tryReservePrefill(0), is(true));
    note.recordPrefillSent();

    assertThat(note.tryReserveRun(0), is(true));
    note.recordSend(TWO);
    assertThat(note.onRefused(0), is(RetryDecision.REFUSE));
  }

  @Test
  void unusedRetryIsRefunded() {
    WindowedRetryBudget budget = WindowedRetryBudget.of(0, 10_000, 1);
    AttemptLedger given = AttemptLedger.of(route(CallKind.UNSAFE, false, 1), budget);
    given.recordSend(ONE);
    assertThat(given.onRefused(0), is(RetryDecision.AGAIN));
    given.refundUnused();

    assertThat(budget.canSpend(0), is(true));
  }

  /** Plays calls at random and counts arrivals as operators do. */
  @Test
  void retriesNeverExceedBudget() {
    Random random = new Random(20261204);
    for (int run = 0; run < 20_000; run++) {
      int slack = random.nextInt(5);
      WindowedRetryBudget budget = WindowedRetryBudget.of(0, 10_000, slack);
      int repeats = 0;
      for (int call = 0; call < 3; call++) {
        repeats += runRandomCall(random, AttemptLedger.of(route(CallKind.STREAM, true, 3), budget));
      }
      assertThat(repeats, lessThanOrEqualTo(slack));
    }
  }

  /** Returns how many arrivals came after the first, without the first accepted read. */
  private static int runRandomCall(Random random, AttemptLedger ledger) {
    int arrivals = 0;
    boolean accepted = false;
    boolean goesOn = true;
    while (goesOn && random.nextInt(10) > 0) {
      boolean reads = random.nextBoolean();
      if (reads ? !ledger.tryReservePrefill(0) : !ledger.tryReserveRun(0)) {
        break;
      }
      boolean arrives = random.nextInt(4) > 0;
      arrivals += arrives ? 1 : 0;
      if (reads) {
        ledger.recordPrefillSent();
        if (!arrives) {
          ledger.recordPrefillNotSent();
        } else if (random.nextBoolean()) {
          accepted = true;
          ledger.recordPrefillAccepted();
        }
      } else {
        ledger.recordSend(ONE);
        RetryDecision next =
            !arrives
                ? ledger.onNotSent()
                : random.nextBoolean() ? ledger.onRefused(0) : ledger.onFailed(0);
        goesOn = next == RetryDecision.AGAIN;
      }
    }
    ledger.refundUnused();
    return Math.max(0, arrivals - 1 - (accepted ? 1 : 0));
  }

  private static AttemptLedger ledger(CallKind kind, boolean resumable, int maxRuns, int slack) {
    return AttemptLedger.of(route(kind, resumable, maxRuns), WindowedRetryBudget.of(0, 10_000, slack));
  }

  private static ForwardRoute route(CallKind kind, boolean resumable, int maxRuns) {
    return new ForwardRoute(
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
  }
}
