package org.knapweedcleat.router.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.once.CallOutcome;
import org.knapweedcleat.core.once.PlainAnswer;

/** Writes the outcomes of plain calls. */
final class PlainAnswers {

  private PlainAnswers() {}

  static void write(HttpServerResponse response, InstanceId instance, CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Failed failed) {
      ErrorAnswers.write(response, failed.error());
    } else if (outcome instanceof CallOutcome.Answered answered) {
      writeAnswer(response, instance, answered.answer());
    }
  }

  private static void writeAnswer(
      HttpServerResponse response, InstanceId instance, PlainAnswer answer) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(answer.status());
    if (!answer.contentType().isEmpty()) {
      response.putHeader("Content-Type", answer.contentType());
    }
    response.putHeader(ErrorAnswers.REQUEST_ID, answer.request().value());
    response.putHeader("X-Instance", instance.value());
    response.putHeader("X-Endpoint", answer.endpoint().value());
    response.end(Buffer.buffer(answer.body()));
  }
}
