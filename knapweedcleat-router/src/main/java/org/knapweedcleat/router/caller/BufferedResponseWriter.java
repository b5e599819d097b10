package org.knapweedcleat.router.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Buffers the generated text and writes the response as one JSON object. */
final class BufferedResponseWriter implements SplitResponseWriter {

  private final HttpServerResponse response;
  private final StringBuilder text = new StringBuilder();
  private JsonObject body = new JsonObject();

  private BufferedResponseWriter(HttpServerResponse response) {
    this.response = response;
  }

  static BufferedResponseWriter of(HttpServerResponse response) {
    return new BufferedResponseWriter(response);
  }

  @Override
  public void writeMetadata(ResponseMetadata metadata) {
    body = metadata.toJson();
  }

  @Override
  public void writeToken(AnswerToken token) {
    text.append(token.text());
  }

  @Override
  public void writeEnd(int tokens) {
    if (response.closed()) {
      return;
    }
    body.put("tokens", tokens).put("text", text.toString());
    response.putHeader(ErrorResponseWriter.REQUEST_ID_HEADER, body.getString("request"));
    response.putHeader("Content-Type", "application/json");
    response.end(body.toBuffer());
  }

  @Override
  public void writeError(ErrorResponse failure) {
    ErrorResponseWriter.write(response, failure);
  }
}
