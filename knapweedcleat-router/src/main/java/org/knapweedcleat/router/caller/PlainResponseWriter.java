package org.knapweedcleat.router.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.once.CallOutcome;
import org.knapweedcleat.core.once.PlainAnswer;

/** Writes the outcome of a plain call as the response. */
final class PlainResponseWriter {

  private PlainResponseWriter() {}

  static void write(HttpServerResponse response, InstanceId instance, CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Failed failed) {
      ErrorResponseWriter.write(response, failed.error());
    } else if (outcome instanceof CallOutcome.Answered answered) {
      writeEndpointResponse(response, instance, answered.answer());
    }
  }

  private static void writeEndpointResponse(
      HttpServerResponse response, InstanceId instance, PlainAnswer plainAnswer) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(plainAnswer.status());
    if (!plainAnswer.contentType().isEmpty()) {
      response.putHeader("Content-Type", plainAnswer.contentType());
    }
    response.putHeader(ErrorResponseWriter.REQUEST_ID_HEADER, plainAnswer.request().value());
    response.putHeader("X-Instance", instance.value());
    response.putHeader("X-Endpoint", plainAnswer.endpoint().value());
    response.end(Buffer.buffer(plainAnswer.body()));
  }
}
