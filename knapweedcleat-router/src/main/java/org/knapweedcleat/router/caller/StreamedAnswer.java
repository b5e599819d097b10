package org.knapweedcleat.router.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Writes an answer as server-sent events. */
final class StreamedAnswer implements SplitAnswer {

  private final HttpServerResponse response;

  private StreamedAnswer(HttpServerResponse response) {
    this.response = response;
  }

  static StreamedAnswer of(HttpServerResponse response) {
    return new StreamedAnswer(response);
  }

  @Override
  public void head(AnswerHead head) {
    if (response.closed()) {
      return;
    }
    response.setChunked(true);
    response.putHeader("Content-Type", "text/event-stream");
    response.putHeader("Cache-Control", "no-store");
    response.putHeader(ErrorAnswers.REQUEST_ID, head.request().value());
    write("head", head.json().put("continuation", head.continuation()));
  }

  @Override
  public void token(AnswerToken token) {
    write("token", new JsonObject().put("position", token.position()).put("text", token.text()));
  }

  @Override
  public void end(int tokens) {
    write("end", new JsonObject().put("tokens", tokens));
    finish();
  }

  @Override
  public void failure(ErrorResponse failure) {
    if (!response.headWritten()) {
      ErrorAnswers.write(response, failure);
      return;
    }
    write("error", ErrorAnswers.json(failure));
    finish();
  }

  private void finish() {
    if (!response.ended() && !response.closed()) {
      response.end();
    }
  }

  private void write(String event, JsonObject data) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.write("event: " + event + "\ndata: " + data.encode() + "\n\n");
  }
}
