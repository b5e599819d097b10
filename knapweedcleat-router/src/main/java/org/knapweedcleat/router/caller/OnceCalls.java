package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.config.CallSafety;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.once.CallDecision;
import org.knapweedcleat.core.once.CallDigest;
import org.knapweedcleat.core.once.CallOutcome;
import org.knapweedcleat.core.once.CallRecord;
import org.knapweedcleat.core.once.ForwardedAnswer;
import org.knapweedcleat.core.once.ForwardedCall;
import org.knapweedcleat.core.once.Ticket;
import org.knapweedcleat.core.once.TicketRegistry;

/** Runs the calls that carry a ticket or a name, here or through the incarnation that knows it. */
final class OnceCalls {

  private static final int SECRET_LONGS = 4;

  private final Serving serving;
  private final Admission admission;
  private final TicketRegistry book;

  private OnceCalls(Serving serving, Admission admission) {
    this.serving = serving;
    this.admission = admission;
    this.book =
        TicketRegistry.of(
            serving.context().incarnation(), secret(serving), serving.context().monitor());
  }

  static OnceCalls of(Serving serving, Admission admission) {
    return new OnceCalls(serving, admission);
  }

  Optional<Ticket> issue(KeyIdentity key) {
    return book.issue(serving.now(), key.account());
  }

  long unusedTickets() {
    return book.countUnused(serving.now());
  }

  /** Tells whether a call has to be remembered. */
  boolean applies(Admitted admitted, PlainInput input) {
    boolean once = admitted.route().safety() == CallSafety.AT_MOST_ONCE;
    return input.ticket().isPresent()
        || once && input.idempotencyKey().isPresent() && admitted.key().isPresent();
  }

  /** Begins a call; what the caller is told comes later. */
  CallerWait begin(Admitted admitted, PlainInput input, long deadlineMillis) {
    if (input.ticket().isEmpty()) {
      return beginNamed(admitted, input, deadlineMillis);
    }
    if (admitted.key().isEmpty()) {
      return refuse(ErrorCode.UNKNOWN_KEY, "a ticket needs the key that it was given to");
    }
    Optional<Ticket> ticket = Ticket.parse(input.ticket().get());
    if (ticket.isEmpty()) {
      return refuse(ErrorCode.MALFORMED, "X-Ticket is not a ticket");
    }
    IncarnationId owner = ticket.get().owner();
    if (!owner.equals(serving.context().incarnation())) {
      return forward(owner, admitted, input, deadlineMillis);
    }
    CallDecision decision =
        book.start(serving.now(), ticket.get(), admitted.account(), digest(input));
    return follow(decision, admitted, input, deadlineMillis);
  }

  /** Runs a call that another instance passed on, after checking its key and route here. */
  Future<ForwardedAnswer> answer(ForwardedCall call) {
    Either<ErrorResponse, Admitted> admitted =
        admission.admitForwarded(call.method(), call.path(), call.keyDigest(), call.account());
    if (admitted.isLeft()) {
      return Future.succeededFuture(ForwardedAnswer.of(new CallOutcome.Failed(admitted.getLeft())));
    }
    PlainInput input = input(call);
    long deadline = Math.min(call.remainingMillis(), admitted.get().service().deadlineMillis());
    return decide(call, admitted.get(), input)
        .map(decision -> follow(decision, admitted.get(), input, Math.max(1, deadline)))
        .map(wait -> wait.told().map(OnceCalls::passable).map(ForwardedAnswer::of))
        .orElseGet(() -> Future.succeededFuture(malformedTicket()));
  }

  private Optional<CallDecision> decide(ForwardedCall call, Admitted admitted, PlainInput input) {
    CallDigest digest = digest(input);
    if (call.ticket().isEmpty()) {
      return Optional.of(book.startWithIdempotencyKey(serving.now(), call.idempotencyKey(), admitted.account(), digest));
    }
    return Ticket.parse(call.ticket())
        .map(ticket -> book.start(serving.now(), ticket, admitted.account(), digest));
  }

  private CallerWait beginNamed(Admitted admitted, PlainInput input, long deadlineMillis) {
    String name = input.idempotencyKey().orElseThrow();
    IncarnationId self = serving.context().incarnation();
    IncarnationId home =
        serving.context().instances().homeOf(admitted.account() + "/" + name).orElse(self);
    if (!home.equals(self)) {
      return forward(home, admitted, input, deadlineMillis);
    }
    CallDecision decision = book.startWithIdempotencyKey(serving.now(), name, admitted.account(), digest(input));
    return follow(decision, admitted, input, deadlineMillis);
  }

  private CallerWait follow(
      CallDecision decision, Admitted admitted, PlainInput input, long deadlineMillis) {
    if (decision instanceof CallDecision.Execute run) {
      return run(run.callRecord(), admitted, input, deadlineMillis);
    }
    if (decision instanceof CallDecision.Replay replay) {
      serving.count("replayed");
      return CallerWait.over(replay.outcome());
    }
    ErrorResponse failure = ((CallDecision.Reject) decision).error();
    serving.countError(failure);
    return CallerWait.over(new CallOutcome.Failed(failure));
  }

  private CallerWait run(CallRecord slot, Admitted admitted, PlainInput input, long deadlineMillis) {
    PlainRun run = PlainRun.of(serving, admitted, input, deadlineMillis);
    run.outcome().onSuccess(outcome -> book.complete(slot, outcome));
    run.start();
    return new CallerWait(run.told(), run::giveUp);
  }

  private CallerWait forward(
      IncarnationId owner, Admitted admitted, PlainInput input, long deadlineMillis) {
    ForwardCall call = ForwardCall.of(serving, admitted.key());
    call.start(
        owner,
        new ForwardedCall(
            input.ticket().orElse(""),
            input.idempotencyKey().orElse(""),
            admitted.account(),
            admitted.digest(),
            input.method().name(),
            input.path(),
            input.query(),
            input.contentType(),
            input.body().getBytes(),
            deadlineMillis));
    return new CallerWait(call.told(), call::giveUp);
  }

  private CallerWait refuse(ErrorCode error, String message) {
    ErrorResponse failure = ErrorResponse.notRun(error, 0, message);
    serving.countError(failure);
    return CallerWait.over(new CallOutcome.Failed(failure));
  }

  /** An answer that no message between instances can carry is reported without its body. */
  private static CallOutcome passable(CallOutcome outcome) {
    boolean large =
        outcome instanceof CallOutcome.Answered answered
            && answered.answer().body().length > ForwardCall.MAX_BODY_BYTES;
    String message = "the call was answered, but the answer is too large to pass on";
    return large
        ? new CallOutcome.Failed(new ErrorResponse(ErrorCode.ENDPOINT_LOST, ExecutionStatus.YES, 0, message))
        : outcome;
  }

  private static ForwardedAnswer malformedTicket() {
    ErrorResponse failure =
        ErrorResponse.notRun(ErrorCode.MALFORMED, 0, "X-Ticket is not a ticket");
    return ForwardedAnswer.of(new CallOutcome.Failed(failure));
  }

  private static PlainInput input(ForwardedCall call) {
    return new PlainInput(
        HttpMethod.valueOf(call.method()),
        call.path(),
        call.query(),
        call.contentType(),
        Optional.of(call.ticket()).filter(ticket -> !ticket.isEmpty()),
        Optional.of(call.idempotencyKey()).filter(name -> !name.isEmpty()),
        Buffer.buffer(call.body()));
  }

  private static CallDigest digest(PlainInput input) {
    return CallDigest.of(input.method().name(), input.uri(), input.body().getBytes());
  }

  private static byte[] secret(Serving serving) {
    ByteBuffer bytes = ByteBuffer.allocate(SECRET_LONGS * Long.BYTES);
    for (int i = 0; i < SECRET_LONGS; i++) {
      bytes.putLong(serving.context().random().getAsLong());
    }
    return bytes.array();
  }
}
