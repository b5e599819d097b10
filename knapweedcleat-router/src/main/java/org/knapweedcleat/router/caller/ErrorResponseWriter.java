package org.knapweedcleat.router.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Writes error responses as JSON. */
final class ErrorResponseWriter {

  static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final long MILLIS_PER_SECOND = 1_000;

  private ErrorResponseWriter() {}

  static JsonObject toJson(ErrorResponse failure) {
    return new JsonObject()
        .put("error", failure.code().name())
        .put("ran", failure.executionStatus().wireName())
        .put("retryAfterMillis", failure.retryAfterMillis())
        .put("message", failure.message());
  }

  static void write(HttpServerResponse response, ErrorResponse failure) {
    if (response.ended() || response.closed() || response.headWritten()) {
      return;
    }
    long retryAfterSeconds =
        (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    response.setStatusCode(failure.code().httpStatus());
    response.putHeader("Content-Type", "application/json");
    response.putHeader("Retry-After", Long.toString(retryAfterSeconds));
    response.end(toJson(failure).toBuffer());
  }
}
