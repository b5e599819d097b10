package org.knapweedcleat.router.listener;

import org.knapweedcleat.core.listener.CloseReason;

/** Responses to requests that are refused before they were complete, so that they did not run. */
final class HttpRefusals {

  private static final String BODY =
      "{\"error\":\"%s\",\"ran\":\"no\",\"retryAfterMillis\":%d,\"message\":\"%s\"}";
  private static final String HEAD =
      "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
          + "Retry-After: %d\r\nConnection: close\r\n\r\n%s";
  private static final int RETRY_AFTER_SECONDS = 1;

  private HttpRefusals() {}

  /** Returns the whole response. */
  static String of(CloseReason reason) {
    return switch (reason) {
      case HEADER_LINES ->
          response("431 Request Header Fields Too Large", "TOO_LARGE", 0, "too many header lines");
      case STALLED ->
          response("408 Request Timeout", "DEADLINE", 0, "the request did not arrive in time");
      case CONNECTIONS ->
          response(
              "503 Service Unavailable", "QUEUE_FULL", RETRY_AFTER_SECONDS, "too many connections");
      case PIPELINE ->
          response(
              "503 Service Unavailable", "QUEUE_FULL", RETRY_AFTER_SECONDS, "too many requests");
      case MEMORY ->
          response(
              "503 Service Unavailable",
              "QUEUE_FULL",
              RETRY_AFTER_SECONDS,
              "requests in reading hold too much memory");
    };
  }

  private static String response(
      String status, String error, int retryAfterSeconds, String message) {
    String body = BODY.formatted(error, retryAfterSeconds * 1_000, message);
    return HEAD.formatted(status, body.length(), retryAfterSeconds, body);
  }
}
