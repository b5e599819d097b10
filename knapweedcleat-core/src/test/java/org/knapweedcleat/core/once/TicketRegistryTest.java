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
  void runsTicketsAtMostOnceAndReplaysOutcomes(@ForAll long seed) {
    Random random = new Random(seed);
    TicketRegistry registry = registry();
    List<Ticket> tickets = new ArrayList<>();
    List<CallRecord> running = new ArrayList<>();
    Map<Ticket, Integer> effects = new HashMap<>();
    Map<Ticket, CallOutcome> firstReplays = new HashMap<>();
    Map<CallRecord, Ticket> ticketsByRecord = new HashMap<>();
    long now = 0;
    for (int step = 0; step < 200; step++) {
      now += random.nextInt(100) == 0 ? TicketRegistry.TICKET_LIFETIME_MILLIS : random.nextInt(500);
      if (random.nextInt(5) == 0) {
        tickets.add(registry.issue(now, ACCOUNT).orElseThrow());
      } else if (!running.isEmpty() && random.nextBoolean()) {
        CallRecord callRecord = running.remove(random.nextInt(running.size()));
        CallOutcome outcome = randomOutcome(random, step);
        if (outcome.executionStatus() != ExecutionStatus.NO) {
          effects.merge(ticketsByRecord.get(callRecord), 1, Integer::sum);
        }
        registry.complete(callRecord, outcome);
      } else if (!tickets.isEmpty()) {
        Ticket ticket = tickets.get(random.nextInt(tickets.size()));
        CallDecision decision = registry.start(now, ticket, ACCOUNT, CALL);
        if (decision instanceof CallDecision.Execute execution) {
          running.add(execution.callRecord());
          ticketsByRecord.put(execution.callRecord(), ticket);
        } else if (decision instanceof CallDecision.Replay replay) {
          CallOutcome before = firstReplays.putIfAbsent(ticket, replay.outcome());
          assertThat(before == null || before.equals(replay.outcome()), is(true));
        }
      }
    }
    effects.values().forEach(count -> assertThat(count, is(lessThanOrEqualTo(1))));
    assertThat(monitor.firstViolations(), is(empty()));
  }

  @Test
  void rejectsExpiredTickets() {
    TicketRegistry registry = registry();
    Ticket ticket = registry.issue(0, ACCOUNT).orElseThrow();
    assertThat(Ticket.parse(ticket.toString()).orElseThrow(), is(ticket));
    assertThat(registry.countUnused(0), is(1L));

    CallDecision late =
        registry.start(TicketRegistry.TICKET_LIFETIME_MILLIS, ticket, ACCOUNT, CALL);
    assertThat(error(late), is(ErrorCode.TICKET_EXPIRED));
    assertThat(registry.countUnused(TicketRegistry.TICKET_LIFETIME_MILLIS), is(0L));
  }

  @Test
  void rejectsForgedTickets() {
    TicketRegistry registry = registry();
    Ticket ticket = registry.issue(0, ACCOUNT).orElseThrow();

    assertThat(
        error(registry.start(0, ticket, AccountId.of("other"), CALL)), is(ErrorCode.MALFORMED));
    Ticket forged = new Ticket(OWNER, ticket.number(), "00");
    assertThat(error(registry.start(0, forged, ACCOUNT, CALL)), is(ErrorCode.MALFORMED));
  }

  @Test
  void recordsExecutionWhenAnswerIsTooLargeToStore() {
    TicketRegistry registry = registry();
    Ticket ticket = registry.issue(0, ACCOUNT).orElseThrow();
    CallDecision.Execute execution =
        (CallDecision.Execute) registry.start(0, ticket, ACCOUNT, CALL);
    registry.complete(execution.callRecord(), answered(new byte[1 << 20]));

    CallDecision repeat = registry.start(1, ticket, ACCOUNT, CALL);
    assertThat(repeat, is(instanceOf(CallDecision.Replay.class)));
    assertThat(((CallDecision.Replay) repeat).outcome().executionStatus(), is(ExecutionStatus.YES));
    assertThat(((CallDecision.Replay) repeat).outcome(), is(instanceOf(CallOutcome.Failed.class)));
  }

  @Test
  void separatesIdempotencyKeysByAccount() {
    TicketRegistry registry = registry();
    assertThat(
        registry.startWithIdempotencyKey(0, "slot", ACCOUNT, CALL),
        is(instanceOf(CallDecision.Execute.class)));
    assertThat(
        error(registry.startWithIdempotencyKey(0, "slot", ACCOUNT, CALL)),
        is(ErrorCode.TICKET_IN_USE));
    assertThat(
        registry.startWithIdempotencyKey(0, "slot", AccountId.of("other"), CALL),
        is(instanceOf(CallDecision.Execute.class)));
  }

  @Test
  void limitsTicketsPerAccount() {
    TicketRegistry registry = registry();
    int issued = 0;
    while (registry.issue(0, ACCOUNT).isPresent()) {
      issued++;
    }
    assertThat(issued, is(10_000));
    assertThat(registry.issue(0, AccountId.of("other")).isPresent(), is(true));
    assertThat(
        registry.issue(TicketRegistry.TICKET_LIFETIME_MILLIS, ACCOUNT).isPresent(), is(true));
  }

  private TicketRegistry registry() {
    return TicketRegistry.of(OWNER, new byte[] {1, 2, 3}, monitor);
  }

  private static CallOutcome randomOutcome(Random random, int step) {
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
