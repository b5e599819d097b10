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
final class AtMostOnceCallHandler {

  private static final int SECRET_LENGTH_LONGS = 4;

  private final RequestRuntime serving;
  private final RequestAuthorizer authorizer;
  private final TicketRegistry tickets;

  private AtMostOnceCallHandler(RequestRuntime serving, RequestAuthorizer admission) {
    this.serving = serving;
    this.authorizer = admission;
    this.tickets =
        TicketRegistry.of(
            serving.context().incarnation(), randomSecret(serving), serving.context().monitor());
  }

  static AtMostOnceCallHandler of(RequestRuntime serving, RequestAuthorizer admission) {
    return new AtMostOnceCallHandler(serving, admission);
  }

  Optional<Ticket> issueTicket(KeyIdentity key) {
    return tickets.issue(serving.nowMillis(), key.account());
  }

  long countUnusedTickets() {
    return tickets.countUnused(serving.nowMillis());
  }

  /** Tells whether a call has to be remembered. */
  boolean mustTrack(AuthorizedRequest admitted, PlainRequest input) {
    boolean once = admitted.route().safety() == CallSafety.AT_MOST_ONCE;
    return input.ticket().isPresent()
        || once && input.idempotencyKey().isPresent() && admitted.key().isPresent();
  }

  /** Begins a call; what the caller is told comes later. */
  PendingResponse start(AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    if (input.ticket().isEmpty()) {
      return startWithIdempotencyKey(admitted, input, deadlineMillis);
    }
    if (admitted.key().isEmpty()) {
      return reject(ErrorCode.UNKNOWN_KEY, "a ticket needs the key that it was given to");
    }
    Optional<Ticket> ticket = Ticket.parse(input.ticket().get());
    if (ticket.isEmpty()) {
      return reject(ErrorCode.MALFORMED, "X-Ticket is not a ticket");
    }
    IncarnationId owner = ticket.get().owner();
    if (!owner.equals(serving.context().incarnation())) {
      return forward(owner, admitted, input, deadlineMillis);
    }
    CallDecision decision =
        tickets.start(serving.nowMillis(), ticket.get(), admitted.account(), digestOf(input));
    return apply(decision, admitted, input, deadlineMillis);
  }

  /** Runs a call that another instance passed on, after checking its key and route here. */
  Future<ForwardedAnswer> executeForwarded(ForwardedCall call) {
    Either<ErrorResponse, AuthorizedRequest> admitted =
        authorizer.authorizeForwarded(call.method(), call.path(), call.keyDigest(), call.account());
    if (admitted.isLeft()) {
      return Future.succeededFuture(ForwardedAnswer.of(new CallOutcome.Failed(admitted.getLeft())));
    }
    PlainRequest input = toPlainRequest(call);
    long deadline = Math.min(call.remainingMillis(), admitted.get().service().deadlineMillis());
    return startForwarded(call, admitted.get(), input)
        .map(decision -> apply(decision, admitted.get(), input, Math.max(1, deadline)))
        .map(wait -> wait.callerOutcome().map(AtMostOnceCallHandler::withoutOversizedBody).map(ForwardedAnswer::of))
        .orElseGet(() -> Future.succeededFuture(malformedTicket()));
  }

  private Optional<CallDecision> startForwarded(ForwardedCall call, AuthorizedRequest admitted, PlainRequest input) {
    CallDigest digest = digestOf(input);
    if (call.ticket().isEmpty()) {
      return Optional.of(tickets.startWithIdempotencyKey(serving.nowMillis(), call.idempotencyKey(), admitted.account(), digest));
    }
    return Ticket.parse(call.ticket())
        .map(ticket -> tickets.start(serving.nowMillis(), ticket, admitted.account(), digest));
  }

  private PendingResponse startWithIdempotencyKey(AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    String name = input.idempotencyKey().orElseThrow();
    IncarnationId self = serving.context().incarnation();
    IncarnationId home =
        serving.context().instanceClient().homeOfKey(admitted.account() + "/" + name).orElse(self);
    if (!home.equals(self)) {
      return forward(home, admitted, input, deadlineMillis);
    }
    CallDecision decision = tickets.startWithIdempotencyKey(serving.nowMillis(), name, admitted.account(), digestOf(input));
    return apply(decision, admitted, input, deadlineMillis);
  }

  private PendingResponse apply(
      CallDecision decision, AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    if (decision instanceof CallDecision.Execute run) {
      return execute(run.callRecord(), admitted, input, deadlineMillis);
    }
    if (decision instanceof CallDecision.Replay replay) {
      serving.count("replayed");
      return PendingResponse.completed(replay.outcome());
    }
    ErrorResponse failure = ((CallDecision.Reject) decision).error();
    serving.countError(failure);
    return PendingResponse.completed(new CallOutcome.Failed(failure));
  }

  private PendingResponse execute(CallRecord slot, AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    PlainCallExecutor run = PlainCallExecutor.of(serving, admitted, input, deadlineMillis);
    run.outcome().onSuccess(outcome -> tickets.complete(slot, outcome));
    run.start();
    return new PendingResponse(run.callerOutcome(), run::abort);
  }

  private PendingResponse forward(
      IncarnationId owner, AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    RemoteCall call = RemoteCall.of(serving, admitted.key());
    call.start(
        owner,
        new ForwardedCall(
            input.ticket().orElse(""),
            input.idempotencyKey().orElse(""),
            admitted.account(),
            admitted.keyDigest(),
            input.method().name(),
            input.path(),
            input.query(),
            input.contentType(),
            input.body().getBytes(),
            deadlineMillis));
    return new PendingResponse(call.callerOutcome(), call::abort);
  }

  private PendingResponse reject(ErrorCode error, String message) {
    ErrorResponse failure = ErrorResponse.notRun(error, 0, message);
    serving.countError(failure);
    return PendingResponse.completed(new CallOutcome.Failed(failure));
  }

  /** An answer that no message between instances can carry is reported without its body. */
  private static CallOutcome withoutOversizedBody(CallOutcome outcome) {
    boolean large =
        outcome instanceof CallOutcome.Answered answered
            && answered.answer().body().length > RemoteCall.MAX_BODY_BYTES;
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

  private static PlainRequest toPlainRequest(ForwardedCall call) {
    return new PlainRequest(
        HttpMethod.valueOf(call.method()),
        call.path(),
        call.query(),
        call.contentType(),
        Optional.of(call.ticket()).filter(ticket -> !ticket.isEmpty()),
        Optional.of(call.idempotencyKey()).filter(name -> !name.isEmpty()),
        Buffer.buffer(call.body()));
  }

  private static CallDigest digestOf(PlainRequest input) {
    return CallDigest.of(input.method().name(), input.uri(), input.body().getBytes());
  }

  private static byte[] randomSecret(RequestRuntime serving) {
    ByteBuffer bytes = ByteBuffer.allocate(SECRET_LENGTH_LONGS * Long.BYTES);
    for (int i = 0; i < SECRET_LENGTH_LONGS; i++) {
      bytes.putLong(serving.context().random().getAsLong());
    }
    return bytes.array();
  }
}
