package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** The parsed JSON body of a split request. */
record SplitRequestBody(String prompt, int maxTokens, boolean stream) {

  private static final int MAX_OUTPUT_TOKENS = 1_000_000;

  static Either<ErrorResponse, SplitRequestBody> parse(Buffer body) {
    if (body == null) {
      return malformed("the request body is missing");
    }
    try {
      return validate(new JsonObject(body));
    } catch (DecodeException | ClassCastException e) {
      return malformed("the request body is not a JSON object");
    }
  }

  private static Either<ErrorResponse, SplitRequestBody> validate(JsonObject json) {
    if (!(json.getValue("prompt") instanceof String prompt) || prompt.isBlank()) {
      return malformed("\"prompt\" must be a non-blank string");
    }
    if (!(json.getValue("maxTokens") instanceof Integer maxTokens)
        || maxTokens < 1
        || maxTokens > MAX_OUTPUT_TOKENS) {
      return malformed("\"maxTokens\" must be an integer from 1 to " + MAX_OUTPUT_TOKENS);
    }
    if (!(json.getValue("stream", false) instanceof Boolean stream)) {
      return malformed("\"stream\" must be true or false");
    }
    return Either.right(new SplitRequestBody(prompt, maxTokens, stream));
  }

  private static Either<ErrorResponse, SplitRequestBody> malformed(String message) {
    return Either.left(ErrorResponse.notRun(ErrorCode.MALFORMED, 0, message));
  }
}
