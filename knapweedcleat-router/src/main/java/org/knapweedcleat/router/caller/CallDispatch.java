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
final class CallDispatch {

  private static final String DEADLINE = "X-Deadline-Millis";
  private static final String CONTINUATION = "X-Continuation";
  private static final String NEXT_POSITION = "X-Next-Position";
  private static final String TICKETS = "/v1/tickets";
  private static final long RETRY_MILLIS = 1_000;

  private final Serving serving;
  private final Admission admission;
  private final OnceCalls once;
  private final Draining draining;

  private CallDispatch(Serving serving) {
    this.serving = serving;
    this.admission = Admission.of(serving.context());
    this.once = OnceCalls.of(serving, admission);
    this.draining = Draining.of(serving, once::unusedTickets);
  }

  static CallDispatch of(Serving serving) {
    return new CallDispatch(serving);
  }

  OnceCalls once() {
    return once;
  }

  Draining draining() {
    return draining;
  }

  void handle(HttpServerRequest request, Buffer body) {
    serving.count("requests");
    if (draining.isDraining()) {
      request.response().putHeader("Connection", "close");
    }
    if (!draining.admits()) {
      String message = "the instance is stopping";
      refuse(request, ErrorResponse.notRun(ErrorCode.DRAINING, 0, message));
    } else if (request.method() == HttpMethod.POST && TICKETS.equals(request.path())) {
      issue(request);
    } else {
      route(request, body);
    }
  }

  private void route(HttpServerRequest request, Buffer body) {
    admit(request)
        .peekLeft(failure -> refuse(request, failure))
        .peek(admitted -> begin(request, body, admitted));
  }

  void refuse(HttpServerRequest request, ErrorResponse failure) {
    serving.checkFailure(failure, SentCallTracker.create(), RequestId.of("refused"));
    ErrorAnswers.write(request.response(), failure);
  }

  /** Gives no tickets once the stop has begun, since the stop waits for those that are out. */
  private void issue(HttpServerRequest request) {
    Either<ErrorResponse, KeyIdentity> key =
        admission.authenticate(request.getHeader("Authorization"));
    if (key.isLeft()) {
      refuse(request, key.getLeft());
      return;
    }
    if (draining.isDraining()) {
      refuse(request, ErrorResponse.notRun(ErrorCode.DRAINING, 0, "the instance is stopping"));
      return;
    }
    Optional<Ticket> ticket = once.issue(key.get());
    if (ticket.isEmpty()) {
      String message = "too many tickets are out";
      refuse(request, ErrorResponse.notRun(ErrorCode.QUEUE_FULL, RETRY_MILLIS, message));
      return;
    }
    JsonObject answer =
        new JsonObject()
            .put("ticket", ticket.get().toString())
            .put("expiresInMillis", TicketRegistry.TICKET_LIFETIME_MILLIS);
    request.response().putHeader("Content-Type", "application/json").end(answer.toBuffer());
  }

  private Either<ErrorResponse, Admitted> admit(HttpServerRequest request) {
    if (serving.running().size() >= serving.context().limits().maxInFlight()) {
      String message = "the instance has too many requests";
      return Either.left(ErrorResponse.notRun(ErrorCode.QUEUE_FULL, RETRY_MILLIS, message));
    }
    return admission.admit(
        request.method().name(), request.path(), request.getHeader("Authorization"));
  }

  private void begin(HttpServerRequest request, Buffer body, Admitted admitted) {
    Either<ErrorResponse, Long> deadline =
        number(request, DEADLINE, 1)
            .map(wanted -> wanted.orElse(Long.MAX_VALUE))
            .map(wanted -> Math.min(wanted, admitted.service().deadlineMillis()));
    if (deadline.isLeft()) {
      refuse(request, deadline.getLeft());
    } else if (admitted.pool().kind() == PoolKind.SPLIT) {
      split(request, body, admitted, deadline.get());
    } else {
      plain(request, body, admitted, deadline.get());
    }
  }

  private void split(
      HttpServerRequest request, Buffer body, Admitted admitted, long deadlineMillis) {
    SplitBody.parse(body)
        .flatMap(
            parsed ->
                firstPosition(request, admitted, parsed)
                    .map(first -> input(admitted, parsed, first, deadlineMillis)))
        .peekLeft(failure -> refuse(request, failure))
        .peek(input -> start(request.response(), input));
  }

  private SplitInput input(Admitted admitted, SplitBody body, int first, long deadlineMillis) {
    return SplitInput.of(
        admitted,
        body,
        serving.nextRequest(),
        serving.context().incarnation(),
        first,
        deadlineMillis);
  }

  private void start(HttpServerResponse response, SplitInput input) {
    SplitAnswer answer =
        input.stream() ? StreamedAnswer.of(response) : CollectedAnswer.of(response);
    SplitCall call = SplitCall.of(serving, input, answer);
    response.closeHandler(closed -> call.giveUp(AbortCause.CALLER_GONE));
    call.start();
  }

  private void plain(
      HttpServerRequest request, Buffer body, Admitted admitted, long deadlineMillis) {
    PlainInput input = PlainInput.of(request, body);
    CallerWait wait =
        once.applies(admitted, input)
            ? once.begin(admitted, input, deadlineMillis)
            : startPlain(admitted, input, deadlineMillis);
    HttpServerResponse response = request.response();
    response.closeHandler(closed -> wait.giveUp().accept(AbortCause.CALLER_GONE));
    InstanceId instance = serving.context().incarnation().instance();
    wait.told().onSuccess(outcome -> PlainAnswers.write(response, instance, outcome));
  }

  private CallerWait startPlain(Admitted admitted, PlainInput input, long deadlineMillis) {
    PlainRun run = PlainRun.of(serving, admitted, input, deadlineMillis);
    run.start();
    return new CallerWait(run.told(), run::giveUp);
  }

  private Either<ErrorResponse, Integer> firstPosition(
      HttpServerRequest request, Admitted admitted, SplitBody body) {
    String text = request.getHeader(CONTINUATION);
    if (text == null) {
      return Either.right(0);
    }
    Optional<ContinuationToken> continuation =
        ContinuationToken.decode(text, admitted.digest())
            .filter(known -> known.isFor(admitted.account(), admitted.service().id()))
            .filter(known -> known.matchesBody(body.prompt(), body.maxTokens()));
    if (continuation.isEmpty()) {
      return malformed(CONTINUATION + " does not belong to this key, route and body");
    }
    return number(request, NEXT_POSITION, 0)
        .flatMap(
            next ->
                next.filter(position -> position < body.maxTokens())
                    .map(position -> Either.<ErrorResponse, Integer>right(position.intValue()))
                    .orElseGet(() -> malformed(NEXT_POSITION + " has to be below maxTokens")));
  }

  private static Either<ErrorResponse, Optional<Long>> number(
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
