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

  @Test
  void runAfterReadThatWasAcceptedIsFree() {
    CallLedger note = ledger(CallKind.STREAM, true, 2, 0);
    assertThat(note.tryRead(0), is(true));
    note.reading();
    note.readAccepted();

    assertThat(note.tryRun(0), is(true));
    note.sent(ONE);
    assertThat(note.refused(0), is(NextStep.REFUSE));
  }

  /** The run after a refused read reached an endpoint without a repeat. */
  @Test
  void runAfterReadThatWasRefusedIsRepeat() {
    CallLedger note = ledger(CallKind.STREAM, true, 2, 0);
    assertThat(note.tryRead(0), is(true));
    note.reading();

    assertThat(note.tryRead(0), is(false));
    assertThat(note.tryRun(0), is(false));
  }

  @Test
  void secondReadTakesWhatItsRunWillCost() {
    CallLedger note = ledger(CallKind.STREAM, true, 2, 2);
    assertThat(note.tryRead(0), is(true));
    note.reading();
    note.readAccepted();
    note.sent(ONE);
    assertThat(note.refused(0), is(NextStep.AGAIN));
    assertThat(note.tryRead(0), is(true));
    note.reading();

    assertThat(note.tryRun(0), is(true));
    note.sent(TWO);
    assertThat(note.refused(0), is(NextStep.REFUSE));
  }

  @Test
  void whatIsNotUsedIsGivenBack() {
    RepeatBudget budget = RepeatBudget.of(0, 10_000, 1);
    CallLedger given = CallLedger.of(route(CallKind.UNSAFE, false, 1), budget);
    given.sent(ONE);
    assertThat(given.refused(0), is(NextStep.AGAIN));
    given.settle();

    assertThat(budget.hasOne(0), is(true));
  }

  /** Plays calls at random and counts arrivals as operators do. */
  @Test
  void repeatsAreNeverMoreThanTheBudget() {
    Random random = new Random(20261204);
    for (int run = 0; run < 20_000; run++) {
      int slack = random.nextInt(5);
      RepeatBudget budget = RepeatBudget.of(0, 10_000, slack);
      int repeats = 0;
      for (int call = 0; call < 3; call++) {
        repeats += playAtRandom(random, CallLedger.of(route(CallKind.STREAM, true, 3), budget));
      }
      assertThat(repeats, lessThanOrEqualTo(slack));
    }
  }

  /** Returns how many arrivals came after the first, without the first accepted read. */
  private static int playAtRandom(Random random, CallLedger ledger) {
    int arrivals = 0;
    boolean accepted = false;
    boolean goesOn = true;
    while (goesOn && random.nextInt(10) > 0) {
      boolean reads = random.nextBoolean();
      if (reads ? !ledger.tryRead(0) : !ledger.tryRun(0)) {
        break;
      }
      boolean arrives = random.nextInt(4) > 0;
      arrivals += arrives ? 1 : 0;
      if (reads) {
        ledger.reading();
        if (!arrives) {
          ledger.readNotSent();
        } else if (random.nextBoolean()) {
          accepted = true;
          ledger.readAccepted();
        }
      } else {
        ledger.sent(ONE);
        NextStep next =
            !arrives
                ? ledger.notSent()
                : random.nextBoolean() ? ledger.refused(0) : ledger.broken(0);
        goesOn = next == NextStep.AGAIN;
      }
    }
    ledger.settle();
    return Math.max(0, arrivals - 1 - (accepted ? 1 : 0));
  }

  private static CallLedger ledger(CallKind kind, boolean resumable, int maxRuns, int slack) {
    return CallLedger.of(route(kind, resumable, maxRuns), RepeatBudget.of(0, 10_000, slack));
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
