package org.knapweedcleat.core.once;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.attempt.CallerError;
import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.core.attempt.Ran;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.InvariantMonitor;

class TicketBookTest {

  private static final IncarnationId OWNER = IncarnationId.of(InstanceId.of("i.with.dots"), 9);
  private static final AccountId ACCOUNT = AccountId.of("account");
  private static final CallDigest CALL = CallDigest.of("POST", "/book", new byte[] {1});

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());

  @Property(seed = "11", tries = 1_000)
  void runsEachTicketAtMostOnceAndRepeatsItsOutcome(@ForAll long seed) {
    Random random = new Random(seed);
    TicketBook book = book();
    List<Ticket> tickets = new ArrayList<>();
    List<CallSlot> running = new ArrayList<>();
    Map<Ticket, Integer> effects = new HashMap<>();
    Map<Ticket, CallOutcome> seen = new HashMap<>();
    Map<CallSlot, Ticket> tickedBy = new HashMap<>();
    long now = 0;
    for (int step = 0; step < 200; step++) {
      now += random.nextInt(100) == 0 ? TicketBook.LIFETIME_MILLIS : random.nextInt(500);
      if (random.nextInt(5) == 0) {
        tickets.add(book.issue(now, ACCOUNT).orElseThrow());
      } else if (!running.isEmpty() && random.nextBoolean()) {
        CallSlot slot = running.remove(random.nextInt(running.size()));
        CallOutcome outcome = anyOutcome(random, step);
        if (outcome.ran() != Ran.NO) {
          effects.merge(tickedBy.get(slot), 1, Integer::sum);
        }
        book.finish(slot, outcome);
      } else if (!tickets.isEmpty()) {
        Ticket ticket = tickets.get(random.nextInt(tickets.size()));
        CallDecision decision = book.begin(now, ticket, ACCOUNT, CALL);
        if (decision instanceof CallDecision.Run run) {
          running.add(run.slot());
          tickedBy.put(run.slot(), ticket);
        } else if (decision instanceof CallDecision.Replay replay) {
          CallOutcome before = seen.putIfAbsent(ticket, replay.outcome());
          assertThat(before == null || before.equals(replay.outcome()), is(true));
        }
      }
    }
    effects.values().forEach(count -> assertThat(count, is(lessThanOrEqualTo(1))));
    assertThat(monitor.kept(), is(empty()));
  }

  @Test
  void neverRunsWhatHasExpired() {
    TicketBook book = book();
    Ticket ticket = book.issue(0, ACCOUNT).orElseThrow();
    assertThat(Ticket.parse(ticket.toString()).orElseThrow(), is(ticket));
    assertThat(book.unused(0), is(1L));

    CallDecision late = book.begin(TicketBook.LIFETIME_MILLIS, ticket, ACCOUNT, CALL);
    assertThat(error(late), is(CallerError.TICKET_EXPIRED));
    assertThat(book.unused(TicketBook.LIFETIME_MILLIS), is(0L));
  }

  @Test
  void refusesForgedTickets() {
    TicketBook book = book();
    Ticket ticket = book.issue(0, ACCOUNT).orElseThrow();

    assertThat(
        error(book.begin(0, ticket, AccountId.of("other"), CALL)), is(CallerError.MALFORMED));
    Ticket forged = new Ticket(OWNER, ticket.number(), "00");
    assertThat(error(book.begin(0, forged, ACCOUNT, CALL)), is(CallerError.MALFORMED));
  }

  @Test
  void remembersThatLargeAnswersWereGiven() {
    TicketBook book = book();
    Ticket ticket = book.issue(0, ACCOUNT).orElseThrow();
    CallDecision.Run run = (CallDecision.Run) book.begin(0, ticket, ACCOUNT, CALL);
    book.finish(run.slot(), answered(new byte[1 << 20]));

    CallDecision repeat = book.begin(1, ticket, ACCOUNT, CALL);
    assertThat(repeat, is(instanceOf(CallDecision.Replay.class)));
    assertThat(((CallDecision.Replay) repeat).outcome().ran(), is(Ran.YES));
    assertThat(((CallDecision.Replay) repeat).outcome(), is(instanceOf(CallOutcome.Failed.class)));
  }

  @Test
  void keepsNamesOfAccountsApart() {
    TicketBook book = book();
    assertThat(book.beginNamed(0, "slot", ACCOUNT, CALL), is(instanceOf(CallDecision.Run.class)));
    assertThat(error(book.beginNamed(0, "slot", ACCOUNT, CALL)), is(CallerError.TICKET_IN_USE));
    assertThat(
        book.beginNamed(0, "slot", AccountId.of("other"), CALL),
        is(instanceOf(CallDecision.Run.class)));
  }

  @Test
  void boundsWhatOneAccountTakes() {
    TicketBook book = book();
    int given = 0;
    while (book.issue(0, ACCOUNT).isPresent()) {
      given++;
    }
    assertThat(given, is(10_000));
    assertThat(book.issue(0, AccountId.of("other")).isPresent(), is(true));
    assertThat(book.issue(TicketBook.LIFETIME_MILLIS, ACCOUNT).isPresent(), is(true));
  }

  private TicketBook book() {
    return TicketBook.of(OWNER, new byte[] {1, 2, 3}, monitor);
  }

  private static CallOutcome anyOutcome(Random random, int step) {
    return switch (random.nextInt(3)) {
      case 0 -> new CallOutcome.Failed(CallerFailure.notRun(CallerError.NO_ENDPOINT, 0, ""));
      case 1 ->
          new CallOutcome.Failed(
              new CallerFailure(CallerError.ENDPOINT_LOST, Ran.MAYBE, 0, "" + step));
      default -> answered(new byte[] {(byte) step});
    };
  }

  private static CallOutcome answered(byte[] body) {
    return new CallOutcome.Answered(
        new PlainAnswer(RequestId.of("r"), EndpointId.of("e"), 200, "", body));
  }

  private static CallerError error(CallDecision decision) {
    return ((CallDecision.Refuse) decision).failure().error();
  }
}
