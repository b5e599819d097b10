package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.ContinuationToken;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.once.Ticket;
import org.knapweedcleat.core.once.TicketRegistry;

/** Dispatches the requests of callers to the handler for their kind. */
final class RequestDispatcher {

  private static final String DEADLINE_HEADER = "X-Deadline-Millis";
  private static final String CONTINUATION_HEADER = "X-Continuation";
  private static final String NEXT_POSITION_HEADER = "X-Next-Position";
  private static final String TICKETS_PATH = "/v1/tickets";
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final RequestRuntime runtime;
  private final RequestAuthorizer authorizer;
  private final AtMostOnceCallHandler atMostOnceCalls;
  private final DrainCoordinator drainCoordinator;

  private RequestDispatcher(RequestRuntime runtime) {
    this.runtime = runtime;
    this.authorizer = RequestAuthorizer.of(runtime.context());
    this.atMostOnceCalls = AtMostOnceCallHandler.of(runtime, authorizer);
    this.drainCoordinator = DrainCoordinator.of(runtime, atMostOnceCalls::countUnusedTickets);
  }

  static RequestDispatcher of(RequestRuntime runtime) {
    return new RequestDispatcher(runtime);
  }

  AtMostOnceCallHandler atMostOnceCalls() {
    return atMostOnceCalls;
  }

  DrainCoordinator drainCoordinator() {
    return drainCoordinator;
  }

  void handle(HttpServerRequest request, Buffer body) {
    runtime.count("requests");
    if (drainCoordinator.isDraining()) {
      request.response().putHeader("Connection", "close");
    }
    if (!drainCoordinator.admitsRequests()) {
      String message = "the instance is stopping";
      reject(request, ErrorResponse.notRun(ErrorCode.DRAINING, 0, message));
    } else if (request.method() == HttpMethod.POST && TICKETS_PATH.equals(request.path())) {
      issueTicket(request);
    } else {
      authorizeAndStart(request, body);
    }
  }

  private void authorizeAndStart(HttpServerRequest request, Buffer body) {
    authorize(request)
        .peekLeft(failure -> reject(request, failure))
        .peek(authorized -> startAuthorized(request, body, authorized));
  }

  void reject(HttpServerRequest request, ErrorResponse failure) {
    runtime.recordError(failure, SentCallTracker.create(), RequestId.of("refused"));
    ErrorResponseWriter.write(request.response(), failure);
  }

  /** Rejects the request during a drain, which has to wait for the tickets already issued. */
  private void issueTicket(HttpServerRequest request) {
    Either<ErrorResponse, KeyIdentity> key =
        authorizer.authenticate(request.getHeader("Authorization"));
    if (key.isLeft()) {
      reject(request, key.getLeft());
      return;
    }
    if (drainCoordinator.isDraining()) {
      reject(request, ErrorResponse.notRun(ErrorCode.DRAINING, 0, "the instance is stopping"));
      return;
    }
    Optional<Ticket> ticket = atMostOnceCalls.issueTicket(key.get());
    if (ticket.isEmpty()) {
      String message = "too many unused tickets";
      reject(request, ErrorResponse.notRun(ErrorCode.QUEUE_FULL, RETRY_AFTER_MILLIS, message));
      return;
    }
    JsonObject body =
        new JsonObject()
            .put("ticket", ticket.get().toString())
            .put("expiresInMillis", TicketRegistry.TICKET_LIFETIME_MILLIS);
    request.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
  }

  private Either<ErrorResponse, AuthorizedRequest> authorize(HttpServerRequest request) {
    if (runtime.activeRequests().size() >= runtime.context().limits().maxInFlight()) {
      String message = "too many requests in progress at this instance";
      return Either.left(ErrorResponse.notRun(ErrorCode.QUEUE_FULL, RETRY_AFTER_MILLIS, message));
    }
    return authorizer.authorize(
        request.method().name(), request.path(), request.getHeader("Authorization"));
  }

  private void startAuthorized(
      HttpServerRequest request, Buffer body, AuthorizedRequest authorized) {
    Either<ErrorResponse, Long> deadline =
        parseNumber(request, DEADLINE_HEADER, 1)
            .map(requested -> requested.orElse(Long.MAX_VALUE))
            .map(requested -> Math.min(requested, authorized.service().deadlineMillis()));
    if (deadline.isLeft()) {
      reject(request, deadline.getLeft());
    } else if (authorized.pool().kind() == PoolKind.SPLIT) {
      parseSplitRequest(request, body, authorized, deadline.get());
    } else {
      startPlainCall(request, body, authorized, deadline.get());
    }
  }

  private void parseSplitRequest(
      HttpServerRequest request, Buffer body, AuthorizedRequest authorized, long deadlineMillis) {
    SplitRequestBody.parse(body)
        .flatMap(
            parsed ->
                parseFirstPosition(request, authorized, parsed)
                    .map(
                        firstPosition ->
                            newSplitRequest(authorized, parsed, firstPosition, deadlineMillis)))
        .peekLeft(failure -> reject(request, failure))
        .peek(parsed -> startSplitRequest(request.response(), parsed));
  }

  private SplitRequest newSplitRequest(
      AuthorizedRequest authorized, SplitRequestBody body, int firstPosition, long deadlineMillis) {
    return SplitRequest.of(
        authorized,
        body,
        runtime.nextRequestId(),
        runtime.context().incarnation(),
        firstPosition,
        deadlineMillis);
  }

  private void startSplitRequest(HttpServerResponse response, SplitRequest request) {
    SplitResponseWriter writer =
        request.stream()
            ? EventStreamResponseWriter.of(response)
            : BufferedResponseWriter.of(response);
    SplitRequestExecutor executor = SplitRequestExecutor.of(runtime, request, writer);
    response.closeHandler(closed -> executor.abort(AbortCause.CALLER_GONE));
    executor.start();
  }

  private void startPlainCall(
      HttpServerRequest request, Buffer body, AuthorizedRequest authorized, long deadlineMillis) {
    PlainRequest plainRequest = PlainRequest.of(request, body);
    PendingResponse pending =
        atMostOnceCalls.mustTrack(authorized, plainRequest)
            ? atMostOnceCalls.start(authorized, plainRequest, deadlineMillis)
            : executePlainCall(authorized, plainRequest, deadlineMillis);
    HttpServerResponse response = request.response();
    response.closeHandler(closed -> pending.abort().accept(AbortCause.CALLER_GONE));
    InstanceId instance = runtime.context().incarnation().instance();
    pending
        .callerOutcome()
        .onSuccess(outcome -> PlainResponseWriter.write(response, instance, outcome));
  }

  private PendingResponse executePlainCall(
      AuthorizedRequest authorized, PlainRequest request, long deadlineMillis) {
    PlainCallExecutor executor = PlainCallExecutor.of(runtime, authorized, request, deadlineMillis);
    executor.start();
    return new PendingResponse(executor.callerOutcome(), executor::abort);
  }

  private Either<ErrorResponse, Integer> parseFirstPosition(
      HttpServerRequest request, AuthorizedRequest authorized, SplitRequestBody body) {
    String text = request.getHeader(CONTINUATION_HEADER);
    if (text == null) {
      return Either.right(0);
    }
    Optional<ContinuationToken> continuation =
        ContinuationToken.decode(text, authorized.keyDigest())
            .filter(decoded -> decoded.isFor(authorized.account(), authorized.service().id()))
            .filter(decoded -> decoded.matchesBody(body.prompt(), body.maxTokens()));
    if (continuation.isEmpty()) {
      return malformed(CONTINUATION_HEADER + " was not issued for this key, route and body");
    }
    return parseNumber(request, NEXT_POSITION_HEADER, 0)
        .flatMap(
            next ->
                next.filter(position -> position < body.maxTokens())
                    .map(position -> Either.<ErrorResponse, Integer>right(position.intValue()))
                    .orElseGet(
                        () -> malformed(NEXT_POSITION_HEADER + " must be less than maxTokens")));
  }

  private static Either<ErrorResponse, Optional<Long>> parseNumber(
      HttpServerRequest request, String header, long minimum) {
    String text = request.getHeader(header);
    if (text == null) {
      return Either.right(Optional.empty());
    }
    try {
      long value = Long.parseLong(text.strip());
      return value < minimum
          ? malformed(header + " must be at least " + minimum)
          : Either.right(Optional.of(value));
    } catch (NumberFormatException e) {
      return malformed(header + " must be an integer");
    }
  }

  private static <T> Either<ErrorResponse, T> malformed(String message) {
    return Either.left(ErrorResponse.notRun(ErrorCode.MALFORMED, 0, message));
  }
}
