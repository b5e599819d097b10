package org.knapweedcleat.router.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/** The part of a caller's plain request that is passed on to an endpoint. */
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
        Optional.ofNullable(request.getHeader(IDEMPOTENCY_KEY_HEADER)).filter(name -> !name.isBlank()),
        body == null ? Buffer.buffer() : body);
  }

  String uri() {
    return query.isEmpty() ? path : path + "?" + query;
  }

  /** Only headers named here leave for endpoints, so keys, tickets and cookies never do. */
  MultiMap endpointHeaders(String request, int priority) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    headers.set(ErrorResponseWriter.REQUEST_ID_HEADER, request);
    headers.set("X-Priority", Integer.toString(priority));
    if (!contentType.isEmpty()) {
      headers.set(CONTENT_TYPE_HEADER, contentType);
    }
    idempotencyKey.ifPresent(name -> headers.set(IDEMPOTENCY_KEY_HEADER, name));
    return headers;
  }
}
