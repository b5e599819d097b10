package org.knapweedcleat.router.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Collects an answer and writes it as one JSON object. */
final class CollectedAnswer implements SplitAnswer {

  private final HttpServerResponse response;
  private final StringBuilder text = new StringBuilder();
  private JsonObject answer = new JsonObject();

  private CollectedAnswer(HttpServerResponse response) {
    this.response = response;
  }

  static CollectedAnswer of(HttpServerResponse response) {
    return new CollectedAnswer(response);
  }

  @Override
  public void head(AnswerHead head) {
    answer = head.json();
  }

  @Override
  public void token(AnswerToken token) {
    text.append(token.text());
  }

  @Override
  public void end(int tokens) {
    if (response.closed()) {
      return;
    }
    answer.put("tokens", tokens).put("text", text.toString());
    response.putHeader(ErrorAnswers.REQUEST_ID, answer.getString("request"));
    response.putHeader("Content-Type", "application/json");
    response.end(answer.toBuffer());
  }

  @Override
  public void failure(ErrorResponse failure) {
    ErrorAnswers.write(response, failure);
  }
}
