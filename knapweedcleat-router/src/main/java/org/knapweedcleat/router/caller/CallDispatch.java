package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import org.knapweedcleat.core.attempt.CallerError;
import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.core.attempt.Continuation;
import org.knapweedcleat.core.attempt.GiveUpCause;
import org.knapweedcleat.core.attempt.RunRecord;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.id.RequestId;

/** Sends each caller's request on its way. */
final class CallDispatch {

  private static final String DEADLINE = "X-Deadline-Millis";
  private static final String CONTINUATION = "X-Continuation";
  private static final String NEXT_POSITION = "X-Next-Position";
  private static final long RETRY_MILLIS = 1_000;

  private final Serving serving;
  private final Admission admission;

  private CallDispatch(Serving serving) {
    this.serving = serving;
    this.admission = Admission.of(serving.context());
  }

  static CallDispatch of(Serving serving) {
    return new CallDispatch(serving);
  }

  void handle(HttpServerRequest request, Buffer body) {
    serving.count("requests");
    admit(request)
        .peekLeft(failure -> refuse(request, failure))
        .peek(admitted -> begin(request, body, admitted));
  }

  void refuse(HttpServerRequest request, CallerFailure failure) {
    serving.checkFailure(failure, RunRecord.create(), RequestId.of("refused"));
    ErrorAnswers.write(request.response(), failure);
  }

  private Either<CallerFailure, Admitted> admit(HttpServerRequest request) {
    if (serving.running().size() >= serving.context().limits().maxInFlight()) {
      String message = "the instance has too many requests";
      return Either.left(CallerFailure.notRun(CallerError.QUEUE_FULL, RETRY_MILLIS, message));
    }
    return admission.admit(
        request.method().name(), request.path(), request.getHeader("Authorization"));
  }

  private void begin(HttpServerRequest request, Buffer body, Admitted admitted) {
    Either<CallerFailure, Long> deadline =
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
    response.closeHandler(closed -> call.giveUp(GiveUpCause.CALLER_GONE));
    call.start();
  }

  private void plain(
      HttpServerRequest request, Buffer body, Admitted admitted, long deadlineMillis) {
    PlainInput input = PlainInput.of(request, body);
    PlainRun run = PlainRun.of(serving, admitted, input, deadlineMillis);
    HttpServerResponse response = request.response();
    response.closeHandler(closed -> run.giveUp(GiveUpCause.CALLER_GONE));
    run.told()
        .onSuccess(
            outcome ->
                PlainAnswers.write(response, serving.context().incarnation().instance(), outcome));
    run.start();
  }

  private Either<CallerFailure, Integer> firstPosition(
      HttpServerRequest request, Admitted admitted, SplitBody body) {
    String text = request.getHeader(CONTINUATION);
    if (text == null) {
      return Either.right(0);
    }
    Optional<Continuation> continuation =
        Continuation.decode(text, admitted.digest())
            .filter(known -> known.continues(admitted.account(), admitted.service().id()))
            .filter(known -> known.hasBody(body.prompt(), body.maxTokens()));
    if (continuation.isEmpty()) {
      return malformed(CONTINUATION + " does not belong to this key, route and body");
    }
    return number(request, NEXT_POSITION, 0)
        .flatMap(
            next ->
                next.filter(position -> position < body.maxTokens())
                    .map(position -> Either.<CallerFailure, Integer>right(position.intValue()))
                    .orElseGet(() -> malformed(NEXT_POSITION + " has to be below maxTokens")));
  }

  private static Either<CallerFailure, Optional<Long>> number(
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

  private static <T> Either<CallerFailure, T> malformed(String message) {
    return Either.left(CallerFailure.notRun(CallerError.MALFORMED, 0, message));
  }
}
