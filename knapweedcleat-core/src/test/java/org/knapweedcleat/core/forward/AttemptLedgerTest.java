package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Random;
import java.util.Set;
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
    AttemptLedger unsafeCall = ledger(CallKind.UNSAFE, false, 3, 10);
    unsafeCall.recordSend(ONE);

    assertThat(unsafeCall.onFailed(0), is(RetryDecision.FAIL));
    assertThat(unsafeCall.mayHaveRun(), is(true));
  }

  @Test
  void refusedUnsafeCallIsRetried() {
    AttemptLedger unsafeCall = ledger(CallKind.UNSAFE, false, 1, 10);
    unsafeCall.recordSend(ONE);

    assertThat(unsafeCall.onRefused(0), is(RetryDecision.AGAIN));
    assertThat(unsafeCall.mayHaveRun(), is(false));
  }

  @Test
  void unsentUnsafeCallIsRetriedWithoutBudget() {
    AttemptLedger unsafeCall = ledger(CallKind.UNSAFE, false, 1, 0);
    unsafeCall.recordSend(ONE);

    assertThat(unsafeCall.onNotSent(), is(RetryDecision.AGAIN));
  }

  @Test
  void callIsRefusedOnlyIfNoAttemptMayHaveRun() {
    AttemptLedger safeCall = ledger(CallKind.SAFE, false, 2, 1);
    safeCall.recordSend(ONE);
    assertThat(safeCall.onFailed(0), is(RetryDecision.AGAIN));
    safeCall.recordSend(TWO);

    assertThat(safeCall.onRefused(0), is(RetryDecision.FAIL));
  }

  @Test
  void safeCallRunsAtMostMaxRunsTimes() {
    AttemptLedger safeCall = ledger(CallKind.SAFE, false, 2, 10);
    safeCall.recordSend(ONE);
    assertThat(safeCall.onFailed(0), is(RetryDecision.AGAIN));
    safeCall.recordSend(TWO);
    assertThat(safeCall.canRetry(0), is(false));

    assertThat(safeCall.onFailed(0), is(RetryDecision.FAIL));
  }

  @Test
  void refusalIsPassedOnWithoutBudget() {
    AttemptLedger safeCall = ledger(CallKind.SAFE, false, 2, 0);
    safeCall.recordSend(ONE);

    assertThat(safeCall.onRefused(0), is(RetryDecision.REFUSE));
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
    AttemptLedger unsafeCall = ledger(CallKind.UNSAFE, false, 1, 100);
    for (int i = 0; i < 3; i++) {
      unsafeCall.recordSend(ONE);
      assertThat(unsafeCall.onRefused(0), is(RetryDecision.AGAIN));
    }
    unsafeCall.recordSend(ONE);

    assertThat(unsafeCall.onRefused(0), is(RetryDecision.REFUSE));
  }

  @Test
  void runAfterAcceptedPrefillIsFree() {
    AttemptLedger stream = ledger(CallKind.STREAM, true, 2, 0);
    assertThat(stream.tryReservePrefill(0), is(true));
    stream.recordPrefillSent();
    stream.recordPrefillAccepted();

    assertThat(stream.tryReserveRun(0), is(true));
    stream.recordSend(ONE);
    assertThat(stream.onRefused(0), is(RetryDecision.REFUSE));
  }

  /** Guards against a run after a refused prefill that is not counted as a retry. */
  @Test
  void runAfterRefusedPrefillIsRetry() {
    AttemptLedger stream = ledger(CallKind.STREAM, true, 2, 0);
    assertThat(stream.tryReservePrefill(0), is(true));
    stream.recordPrefillSent();

    assertThat(stream.tryReservePrefill(0), is(false));
    assertThat(stream.tryReserveRun(0), is(false));
  }

  @Test
  void secondPrefillReservesItsRunToo() {
    AttemptLedger stream = ledger(CallKind.STREAM, true, 2, 2);
    assertThat(stream.tryReservePrefill(0), is(true));
    stream.recordPrefillSent();
    stream.recordPrefillAccepted();
    stream.recordSend(ONE);
    assertThat(stream.onRefused(0), is(RetryDecision.AGAIN));
    assertThat(stream.tryReservePrefill(0), is(true));
    stream.recordPrefillSent();

    assertThat(stream.tryReserveRun(0), is(true));
    stream.recordSend(TWO);
    assertThat(stream.onRefused(0), is(RetryDecision.REFUSE));
  }

  @Test
  void unusedRetryIsRefunded() {
    WindowedRetryBudget budget = WindowedRetryBudget.of(0, 10_000, 1);
    AttemptLedger call = AttemptLedger.of(route(CallKind.UNSAFE, false, 1), budget);
    call.recordSend(ONE);
    assertThat(call.onRefused(0), is(RetryDecision.AGAIN));
    call.refundUnused();

    assertThat(budget.canSpend(0), is(true));
  }

  /** Runs random calls and counts arrivals at endpoints, as operators do. */
  @Test
  void retriesNeverExceedBudget() {
    Random random = new Random(20261204);
    for (int round = 0; round < 20_000; round++) {
      int slack = random.nextInt(5);
      WindowedRetryBudget budget = WindowedRetryBudget.of(0, 10_000, slack);
      int retries = 0;
      for (int call = 0; call < 3; call++) {
        retries += runRandomCall(random, AttemptLedger.of(route(CallKind.STREAM, true, 3), budget));
      }
      assertThat(retries, lessThanOrEqualTo(slack));
    }
  }

  /** Returns the number of arrivals after the first, not counting the first accepted prefill. */
  private static int runRandomCall(Random random, AttemptLedger ledger) {
    int arrivals = 0;
    boolean accepted = false;
    boolean retrying = true;
    while (retrying && random.nextInt(10) > 0) {
      boolean prefills = random.nextBoolean();
      if (prefills ? !ledger.tryReservePrefill(0) : !ledger.tryReserveRun(0)) {
        break;
      }
      boolean arrives = random.nextInt(4) > 0;
      arrivals += arrives ? 1 : 0;
      if (prefills) {
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
        retrying = next == RetryDecision.AGAIN;
      }
    }
    ledger.refundUnused();
    return Math.max(0, arrivals - 1 - (accepted ? 1 : 0));
  }

  private static AttemptLedger ledger(CallKind kind, boolean resumable, int maxRuns, int slack) {
    return AttemptLedger.of(
        route(kind, resumable, maxRuns), WindowedRetryBudget.of(0, 10_000, slack));
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
        List.of(new ServiceShare(ServiceId.of("s"), 1)),
        Set.of());
  }
}
