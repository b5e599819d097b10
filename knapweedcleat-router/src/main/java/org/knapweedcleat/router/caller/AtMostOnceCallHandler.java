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

/**
 * Executes calls that carry a ticket or an idempotency key, and replays the outcome to repeated
 * calls.
 *
 * <p>A call is executed by the incarnation that issued its ticket, or by the home instance of its
 * idempotency key, which also stores the outcome. Calls of other owners are forwarded to them.
 */
final class AtMostOnceCallHandler {

  private static final int SECRET_LENGTH_LONGS = 4;

  private final RequestRuntime runtime;
  private final RequestAuthorizer authorizer;
  private final TicketRegistry tickets;

  private AtMostOnceCallHandler(RequestRuntime runtime, RequestAuthorizer authorizer) {
    this.runtime = runtime;
    this.authorizer = authorizer;
    this.tickets =
        TicketRegistry.of(
            runtime.context().incarnation(), randomSecret(runtime), runtime.context().monitor());
  }

  static AtMostOnceCallHandler of(RequestRuntime runtime, RequestAuthorizer authorizer) {
    return new AtMostOnceCallHandler(runtime, authorizer);
  }

  Optional<Ticket> issueTicket(KeyIdentity key) {
    return tickets.issue(runtime.nowMillis(), key.account());
  }

  long countUnusedTickets() {
    return tickets.countUnused(runtime.nowMillis());
  }

  /** Returns whether the outcome of a call must be stored for replay. */
  boolean mustTrack(AuthorizedRequest authorized, PlainRequest request) {
    boolean atMostOnce = authorized.route().safety() == CallSafety.AT_MOST_ONCE;
    return request.ticket().isPresent()
        || atMostOnce && request.idempotencyKey().isPresent() && authorized.key().isPresent();
  }

  /** Starts, replays, forwards or rejects a call. */
  PendingResponse start(AuthorizedRequest authorized, PlainRequest request, long deadlineMillis) {
    if (request.ticket().isEmpty()) {
      return startWithIdempotencyKey(authorized, request, deadlineMillis);
    }
    if (authorized.key().isEmpty()) {
      return reject(ErrorCode.UNKNOWN_KEY, "a ticket requires an API key of its client account");
    }
    Optional<Ticket> ticket = Ticket.parse(request.ticket().get());
    if (ticket.isEmpty()) {
      return reject(ErrorCode.MALFORMED, "X-Ticket is not a valid ticket");
    }
    IncarnationId owner = ticket.get().owner();
    if (!owner.equals(runtime.context().incarnation())) {
      return forward(owner, authorized, request, deadlineMillis);
    }
    CallDecision decision =
        tickets.start(runtime.nowMillis(), ticket.get(), authorized.account(), digestOf(request));
    return apply(decision, authorized, request, deadlineMillis);
  }

  /** Executes a call forwarded by another instance, after checking its key and route here. */
  Future<ForwardedAnswer> executeForwarded(ForwardedCall call) {
    Either<ErrorResponse, AuthorizedRequest> authorized =
        authorizer.authorizeForwarded(call.method(), call.path(), call.keyDigest(), call.account());
    if (authorized.isLeft()) {
      return Future.succeededFuture(
          ForwardedAnswer.of(new CallOutcome.Failed(authorized.getLeft())));
    }
    PlainRequest request = toPlainRequest(call);
    long deadline = Math.min(call.remainingMillis(), authorized.get().service().deadlineMillis());
    return startForwarded(call, authorized.get(), request)
        .map(decision -> apply(decision, authorized.get(), request, Math.max(1, deadline)))
        .map(
            pending ->
                pending
                    .callerOutcome()
                    .map(AtMostOnceCallHandler::withoutOversizedBody)
                    .map(ForwardedAnswer::of))
        .orElseGet(() -> Future.succeededFuture(malformedTicket()));
  }

  private Optional<CallDecision> startForwarded(
      ForwardedCall call, AuthorizedRequest authorized, PlainRequest request) {
    CallDigest digest = digestOf(request);
    if (call.ticket().isEmpty()) {
      return Optional.of(
          tickets.startWithIdempotencyKey(
              runtime.nowMillis(), call.idempotencyKey(), authorized.account(), digest));
    }
    return Ticket.parse(call.ticket())
        .map(ticket -> tickets.start(runtime.nowMillis(), ticket, authorized.account(), digest));
  }

  private PendingResponse startWithIdempotencyKey(
      AuthorizedRequest authorized, PlainRequest request, long deadlineMillis) {
    String idempotencyKey = request.idempotencyKey().orElseThrow();
    IncarnationId localIncarnation = runtime.context().incarnation();
    IncarnationId homeIncarnation =
        runtime
            .context()
            .instanceClient()
            .homeOfKey(authorized.account() + "/" + idempotencyKey)
            .orElse(localIncarnation);
    if (!homeIncarnation.equals(localIncarnation)) {
      return forward(homeIncarnation, authorized, request, deadlineMillis);
    }
    CallDecision decision =
        tickets.startWithIdempotencyKey(
            runtime.nowMillis(), idempotencyKey, authorized.account(), digestOf(request));
    return apply(decision, authorized, request, deadlineMillis);
  }

  private PendingResponse apply(
      CallDecision decision,
      AuthorizedRequest authorized,
      PlainRequest request,
      long deadlineMillis) {
    if (decision instanceof CallDecision.Execute execution) {
      return execute(execution.callRecord(), authorized, request, deadlineMillis);
    }
    if (decision instanceof CallDecision.Replay replay) {
      runtime.count("replayed");
      return PendingResponse.completed(replay.outcome());
    }
    ErrorResponse failure = ((CallDecision.Reject) decision).error();
    runtime.countError(failure);
    return PendingResponse.completed(new CallOutcome.Failed(failure));
  }

  private PendingResponse execute(
      CallRecord slot, AuthorizedRequest authorized, PlainRequest request, long deadlineMillis) {
    PlainCallExecutor executor = PlainCallExecutor.of(runtime, authorized, request, deadlineMillis);
    executor.outcome().onSuccess(outcome -> tickets.complete(slot, outcome));
    executor.start();
    return new PendingResponse(executor.callerOutcome(), executor::abort);
  }

  private PendingResponse forward(
      IncarnationId owner,
      AuthorizedRequest authorized,
      PlainRequest request,
      long deadlineMillis) {
    RemoteCall call = RemoteCall.of(runtime, authorized.key());
    call.start(
        owner,
        new ForwardedCall(
            request.ticket().orElse(""),
            request.idempotencyKey().orElse(""),
            authorized.account(),
            authorized.keyDigest(),
            request.method().name(),
            request.path(),
            request.query(),
            request.contentType(),
            request.body().getBytes(),
            deadlineMillis));
    return new PendingResponse(call.callerOutcome(), call::abort);
  }

  private PendingResponse reject(ErrorCode error, String message) {
    ErrorResponse failure = ErrorResponse.notRun(error, 0, message);
    runtime.countError(failure);
    return PendingResponse.completed(new CallOutcome.Failed(failure));
  }

  /** Replaces a response that is too large for a peer message by an error. */
  private static CallOutcome withoutOversizedBody(CallOutcome outcome) {
    boolean oversized =
        outcome instanceof CallOutcome.Answered answered
            && answered.answer().body().length > RemoteCall.MAX_BODY_BYTES;
    String message = "the call was executed, but its response is too large to forward";
    return oversized
        ? new CallOutcome.Failed(
            new ErrorResponse(ErrorCode.ENDPOINT_LOST, ExecutionStatus.YES, 0, message))
        : outcome;
  }

  private static ForwardedAnswer malformedTicket() {
    ErrorResponse failure =
        ErrorResponse.notRun(ErrorCode.MALFORMED, 0, "X-Ticket is not a valid ticket");
    return ForwardedAnswer.of(new CallOutcome.Failed(failure));
  }

  private static PlainRequest toPlainRequest(ForwardedCall call) {
    return new PlainRequest(
        HttpMethod.valueOf(call.method()),
        call.path(),
        call.query(),
        call.contentType(),
        Optional.of(call.ticket()).filter(ticket -> !ticket.isEmpty()),
        Optional.of(call.idempotencyKey()).filter(idempotencyKey -> !idempotencyKey.isEmpty()),
        Buffer.buffer(call.body()));
  }

  private static CallDigest digestOf(PlainRequest request) {
    return CallDigest.of(request.method().name(), request.uri(), request.body().getBytes());
  }

  private static byte[] randomSecret(RequestRuntime runtime) {
    ByteBuffer bytes = ByteBuffer.allocate(SECRET_LENGTH_LONGS * Long.BYTES);
    for (int i = 0; i < SECRET_LENGTH_LONGS; i++) {
      bytes.putLong(runtime.context().random().getAsLong());
    }
    return bytes.array();
  }
}
