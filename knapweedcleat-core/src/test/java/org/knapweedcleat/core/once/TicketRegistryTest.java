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
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.InvariantMonitor;

class TicketRegistryTest {

  private static final IncarnationId OWNER = IncarnationId.of(InstanceId.of("i.with.dots"), 9);
  private static final AccountId ACCOUNT = AccountId.of("account");
  private static final CallDigest CALL = CallDigest.of("POST", "/book", new byte[] {1});

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());

  @Property(seed = "11", tries = 1_000)
  void runsEachTicketAtMostOnceAndRepeatsItsOutcome(@ForAll long seed) {
    Random random = new Random(seed);
    TicketRegistry book = book();
    List<Ticket> tickets = new ArrayList<>();
    List<CallRecord> running = new ArrayList<>();
    Map<Ticket, Integer> effects = new HashMap<>();
    Map<Ticket, CallOutcome> seen = new HashMap<>();
    Map<CallRecord, Ticket> tickedBy = new HashMap<>();
    long now = 0;
    for (int step = 0; step < 200; step++) {
      now += random.nextInt(100) == 0 ? TicketRegistry.TICKET_LIFETIME_MILLIS : random.nextInt(500);
      if (random.nextInt(5) == 0) {
        tickets.add(book.issue(now, ACCOUNT).orElseThrow());
      } else if (!running.isEmpty() && random.nextBoolean()) {
        CallRecord slot = running.remove(random.nextInt(running.size()));
        CallOutcome outcome = anyOutcome(random, step);
        if (outcome.executionStatus() != ExecutionStatus.NO) {
          effects.merge(tickedBy.get(slot), 1, Integer::sum);
        }
        book.complete(slot, outcome);
      } else if (!tickets.isEmpty()) {
        Ticket ticket = tickets.get(random.nextInt(tickets.size()));
        CallDecision decision = book.start(now, ticket, ACCOUNT, CALL);
        if (decision instanceof CallDecision.Execute run) {
          running.add(run.callRecord());
          tickedBy.put(run.callRecord(), ticket);
        } else if (decision instanceof CallDecision.Replay replay) {
          CallOutcome before = seen.putIfAbsent(ticket, replay.outcome());
          assertThat(before == null || before.equals(replay.outcome()), is(true));
        }
      }
    }
    effects.values().forEach(count -> assertThat(count, is(lessThanOrEqualTo(1))));
    assertThat(monitor.firstViolations(), is(empty()));
  }

  @Test
  void neverRunsWhatHasExpired() {
    TicketRegistry book = book();
    Ticket ticket = book.issue(0, ACCOUNT).orElseThrow();
    assertThat(Ticket.parse(ticket.toString()).orElseThrow(), is(ticket));
    assertThat(book.countUnused(0), is(1L));

    CallDecision late = book.start(TicketRegistry.TICKET_LIFETIME_MILLIS, ticket, ACCOUNT, CALL);
    assertThat(error(late), is(ErrorCode.TICKET_EXPIRED));
    assertThat(book.countUnused(TicketRegistry.TICKET_LIFETIME_MILLIS), is(0L));
  }

  @Test
  void refusesForgedTickets() {
    TicketRegistry book = book();
    Ticket ticket = book.issue(0, ACCOUNT).orElseThrow();

    assertThat(
        error(book.start(0, ticket, AccountId.of("other"), CALL)), is(ErrorCode.MALFORMED));
    Ticket forged = new Ticket(OWNER, ticket.number(), "00");
    assertThat(error(book.start(0, forged, ACCOUNT, CALL)), is(ErrorCode.MALFORMED));
  }

  @Test
  void remembersThatLargeAnswersWereGiven() {
    TicketRegistry book = book();
    Ticket ticket = book.issue(0, ACCOUNT).orElseThrow();
    CallDecision.Execute run = (CallDecision.Execute) book.start(0, ticket, ACCOUNT, CALL);
    book.complete(run.callRecord(), answered(new byte[1 << 20]));

    CallDecision repeat = book.start(1, ticket, ACCOUNT, CALL);
    assertThat(repeat, is(instanceOf(CallDecision.Replay.class)));
    assertThat(((CallDecision.Replay) repeat).outcome().executionStatus(), is(ExecutionStatus.YES));
    assertThat(((CallDecision.Replay) repeat).outcome(), is(instanceOf(CallOutcome.Failed.class)));
  }

  @Test
  void keepsNamesOfAccountsApart() {
    TicketRegistry book = book();
    assertThat(book.startWithIdempotencyKey(0, "slot", ACCOUNT, CALL), is(instanceOf(CallDecision.Execute.class)));
    assertThat(error(book.startWithIdempotencyKey(0, "slot", ACCOUNT, CALL)), is(ErrorCode.TICKET_IN_USE));
    assertThat(
        book.startWithIdempotencyKey(0, "slot", AccountId.of("other"), CALL),
        is(instanceOf(CallDecision.Execute.class)));
  }

  @Test
  void boundsWhatOneAccountTakes() {
    TicketRegistry book = book();
    int given = 0;
    while (book.issue(0, ACCOUNT).isPresent()) {
      given++;
    }
    assertThat(given, is(10_000));
    assertThat(book.issue(0, AccountId.of("other")).isPresent(), is(true));
    assertThat(book.issue(TicketRegistry.TICKET_LIFETIME_MILLIS, ACCOUNT).isPresent(), is(true));
  }

  private TicketRegistry book() {
    return TicketRegistry.of(OWNER, new byte[] {1, 2, 3}, monitor);
  }

  private static CallOutcome anyOutcome(Random random, int step) {
    return switch (random.nextInt(3)) {
      case 0 -> new CallOutcome.Failed(ErrorResponse.notRun(ErrorCode.NO_ENDPOINT, 0, ""));
      case 1 ->
          new CallOutcome.Failed(
              new ErrorResponse(ErrorCode.ENDPOINT_LOST, ExecutionStatus.MAYBE, 0, "" + step));
      default -> answered(new byte[] {(byte) step});
    };
  }

  private static CallOutcome answered(byte[] body) {
    return new CallOutcome.Answered(
        new PlainAnswer(RequestId.of("r"), EndpointId.of("e"), 200, "", body));
  }

  private static ErrorCode error(CallDecision decision) {
    return ((CallDecision.Reject) decision).error().code();
  }
}
