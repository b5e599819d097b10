package org.knapweedcleat.router.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/** The parts of a plain request that the router reads or forwards to an endpoint. */
record PlainRequest(
    HttpMethod method,
    String path,
    String query,
    String contentType,
    Optional<String> ticket,
    Optional<String> idempotencyKey,
    Buffer body) {

  private static final String CONTENT_TYPE_HEADER = "Content-Type";
  private static final String TICKET_HEADER = "X-Ticket";
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  static PlainRequest of(HttpServerRequest request, Buffer body) {
    return new PlainRequest(
        request.method(),
        request.path(),
        Optional.ofNullable(request.query()).orElse(""),
        Optional.ofNullable(request.getHeader(CONTENT_TYPE_HEADER)).orElse(""),
        Optional.ofNullable(request.getHeader(TICKET_HEADER)),
        Optional.ofNullable(request.getHeader(IDEMPOTENCY_KEY_HEADER))
            .filter(key -> !key.isBlank()),
        body == null ? Buffer.buffer() : body);
  }

  String uri() {
    return query.isEmpty() ? path : path + "?" + query;
  }

  /** Returns only the headers set here, so keys, tickets and cookies never reach an endpoint. */
  MultiMap endpointHeaders(String request, int priority) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    headers.set(ErrorResponseWriter.REQUEST_ID_HEADER, request);
    headers.set("X-Priority", Integer.toString(priority));
    if (!contentType.isEmpty()) {
      headers.set(CONTENT_TYPE_HEADER, contentType);
    }
    idempotencyKey.ifPresent(key -> headers.set(IDEMPOTENCY_KEY_HEADER, key));
    return headers;
  }
}
