package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ContinuationToken;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.once.Ticket;
import org.knapweedcleat.core.once.TicketRegistry;

/** Sends each caller's request on its way. */
final class RequestDispatcher {

  private static final String DEADLINE_HEADER = "X-Deadline-Millis";
  private static final String CONTINUATION_HEADER = "X-Continuation";
  private static final String NEXT_POSITION_HEADER = "X-Next-Position";
  private static final String TICKETS_PATH = "/v1/tickets";
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final RequestRuntime serving;
  private final RequestAuthorizer authorizer;
  private final AtMostOnceCallHandler atMostOnceCalls;
  private final DrainCoordinator drainCoordinator;

  private RequestDispatcher(RequestRuntime serving) {
    this.serving = serving;
    this.authorizer = RequestAuthorizer.of(serving.context());
    this.atMostOnceCalls = AtMostOnceCallHandler.of(serving, authorizer);
    this.drainCoordinator = DrainCoordinator.of(serving, atMostOnceCalls::countUnusedTickets);
  }

  static RequestDispatcher of(RequestRuntime serving) {
    return new RequestDispatcher(serving);
  }

  AtMostOnceCallHandler atMostOnceCalls() {
    return atMostOnceCalls;
  }

  DrainCoordinator drainCoordinator() {
    return drainCoordinator;
  }

  void handle(HttpServerRequest request, Buffer body) {
    serving.count("requests");
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
        .peek(admitted -> startAuthorized(request, body, admitted));
  }

  void reject(HttpServerRequest request, ErrorResponse failure) {
    serving.recordError(failure, SentCallTracker.create(), RequestId.of("refused"));
    ErrorResponseWriter.write(request.response(), failure);
  }

  /** Gives no tickets once the stop has begun, since the stop waits for those that are out. */
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
      String message = "too many tickets are out";
      reject(request, ErrorResponse.notRun(ErrorCode.QUEUE_FULL, RETRY_AFTER_MILLIS, message));
      return;
    }
    JsonObject answer =
        new JsonObject()
            .put("ticket", ticket.get().toString())
            .put("expiresInMillis", TicketRegistry.TICKET_LIFETIME_MILLIS);
    request.response().putHeader("Content-Type", "application/json").end(answer.toBuffer());
  }

  private Either<ErrorResponse, AuthorizedRequest> authorize(HttpServerRequest request) {
    if (serving.activeRequests().size() >= serving.context().limits().maxInFlight()) {
      String message = "the instance has too many requests";
      return Either.left(ErrorResponse.notRun(ErrorCode.QUEUE_FULL, RETRY_AFTER_MILLIS, message));
    }
    return authorizer.authorize(
        request.method().name(), request.path(), request.getHeader("Authorization"));
  }

  private void startAuthorized(HttpServerRequest request, Buffer body, AuthorizedRequest admitted) {
    Either<ErrorResponse, Long> deadline =
        parseNumber(request, DEADLINE_HEADER, 1)
            .map(wanted -> wanted.orElse(Long.MAX_VALUE))
            .map(wanted -> Math.min(wanted, admitted.service().deadlineMillis()));
    if (deadline.isLeft()) {
      reject(request, deadline.getLeft());
    } else if (admitted.pool().kind() == PoolKind.SPLIT) {
      parseSplitRequest(request, body, admitted, deadline.get());
    } else {
      startPlainCall(request, body, admitted, deadline.get());
    }
  }

  private void parseSplitRequest(
      HttpServerRequest request, Buffer body, AuthorizedRequest admitted, long deadlineMillis) {
    SplitRequestBody.parse(body)
        .flatMap(
            parsed ->
                parseFirstPosition(request, admitted, parsed)
                    .map(first -> newSplitRequest(admitted, parsed, first, deadlineMillis)))
        .peekLeft(failure -> reject(request, failure))
        .peek(input -> startSplitRequest(request.response(), input));
  }

  private SplitRequest newSplitRequest(AuthorizedRequest admitted, SplitRequestBody body, int first, long deadlineMillis) {
    return SplitRequest.of(
        admitted,
        body,
        serving.nextRequestId(),
        serving.context().incarnation(),
        first,
        deadlineMillis);
  }

  private void startSplitRequest(HttpServerResponse response, SplitRequest input) {
    SplitResponseWriter answer =
        input.stream() ? EventStreamResponseWriter.of(response) : BufferedResponseWriter.of(response);
    SplitRequestExecutor call = SplitRequestExecutor.of(serving, input, answer);
    response.closeHandler(closed -> call.abort(AbortCause.CALLER_GONE));
    call.start();
  }

  private void startPlainCall(
      HttpServerRequest request, Buffer body, AuthorizedRequest admitted, long deadlineMillis) {
    PlainRequest input = PlainRequest.of(request, body);
    PendingResponse wait =
        atMostOnceCalls.mustTrack(admitted, input)
            ? atMostOnceCalls.start(admitted, input, deadlineMillis)
            : executePlainCall(admitted, input, deadlineMillis);
    HttpServerResponse response = request.response();
    response.closeHandler(closed -> wait.abort().accept(AbortCause.CALLER_GONE));
    InstanceId instance = serving.context().incarnation().instance();
    wait.callerOutcome().onSuccess(outcome -> PlainResponseWriter.write(response, instance, outcome));
  }

  private PendingResponse executePlainCall(AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    PlainCallExecutor run = PlainCallExecutor.of(serving, admitted, input, deadlineMillis);
    run.start();
    return new PendingResponse(run.callerOutcome(), run::abort);
  }

  private Either<ErrorResponse, Integer> parseFirstPosition(
      HttpServerRequest request, AuthorizedRequest admitted, SplitRequestBody body) {
    String text = request.getHeader(CONTINUATION_HEADER);
    if (text == null) {
      return Either.right(0);
    }
    Optional<ContinuationToken> continuation =
        ContinuationToken.decode(text, admitted.keyDigest())
            .filter(known -> known.isFor(admitted.account(), admitted.service().id()))
            .filter(known -> known.matchesBody(body.prompt(), body.maxTokens()));
    if (continuation.isEmpty()) {
      return malformed(CONTINUATION_HEADER + " does not belong to this key, route and body");
    }
    return parseNumber(request, NEXT_POSITION_HEADER, 0)
        .flatMap(
            next ->
                next.filter(position -> position < body.maxTokens())
                    .map(position -> Either.<ErrorResponse, Integer>right(position.intValue()))
                    .orElseGet(() -> malformed(NEXT_POSITION_HEADER + " has to be below maxTokens")));
  }

  private static Either<ErrorResponse, Optional<Long>> parseNumber(
      HttpServerRequest request, String header, long least) {
    String text = request.getHeader(header);
    if (text == null) {
      return Either.right(Optional.empty());
    }
    try {
      long value = Long.parseLong(text.strip());
      return value < least
          ? malformed(header + " has to be at least " + least)
          : Either.right(Optional.of(value));
    } catch (NumberFormatException e) {
      return malformed(header + " has to be a whole number");
    }
  }

  private static <T> Either<ErrorResponse, T> malformed(String message) {
    return Either.left(ErrorResponse.notRun(ErrorCode.MALFORMED, 0, message));
  }
}
