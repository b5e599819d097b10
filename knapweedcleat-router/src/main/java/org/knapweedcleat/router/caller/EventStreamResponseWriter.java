package org.knapweedcleat.router.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Writes a response as server-sent events. */
final class EventStreamResponseWriter implements SplitResponseWriter {

  private final HttpServerResponse response;

  private EventStreamResponseWriter(HttpServerResponse response) {
    this.response = response;
  }

  static EventStreamResponseWriter of(HttpServerResponse response) {
    return new EventStreamResponseWriter(response);
  }

  @Override
  public void writeMetadata(ResponseMetadata metadata) {
    if (response.closed()) {
      return;
    }
    response.setChunked(true);
    response.putHeader("Content-Type", "text/event-stream");
    response.putHeader("Cache-Control", "no-store");
    response.putHeader(ErrorResponseWriter.REQUEST_ID_HEADER, metadata.request().value());
    writeEvent("head", metadata.toJson().put("continuation", metadata.continuation()));
  }

  @Override
  public void writeToken(AnswerToken token) {
    writeEvent(
        "token", new JsonObject().put("position", token.position()).put("text", token.text()));
  }

  @Override
  public void writeEnd(int tokens) {
    writeEvent("end", new JsonObject().put("tokens", tokens));
    endResponse();
  }

  @Override
  public void writeError(ErrorResponse failure) {
    if (!response.headWritten()) {
      ErrorResponseWriter.write(response, failure);
      return;
    }
    writeEvent("error", ErrorResponseWriter.toJson(failure));
    endResponse();
  }

  private void endResponse() {
    if (!response.ended() && !response.closed()) {
      response.end();
    }
  }

  private void writeEvent(String eventName, JsonObject data) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.write("event: " + eventName + "\ndata: " + data.encode() + "\n\n");
  }
}
