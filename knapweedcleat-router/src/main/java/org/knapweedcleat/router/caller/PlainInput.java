package org.knapweedcleat.router.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/** The part of a caller's plain request that is passed on to an endpoint. */
record PlainInput(
    HttpMethod method,
    String path,
    String query,
    String contentType,
    Optional<String> ticket,
    Optional<String> idempotencyKey,
    Buffer body) {

  private static final String CONTENT_TYPE = "Content-Type";
  private static final String TICKET = "X-Ticket";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  static PlainInput of(HttpServerRequest request, Buffer body) {
    return new PlainInput(
        request.method(),
        request.path(),
        Optional.ofNullable(request.query()).orElse(""),
        Optional.ofNullable(request.getHeader(CONTENT_TYPE)).orElse(""),
        Optional.ofNullable(request.getHeader(TICKET)),
        Optional.ofNullable(request.getHeader(IDEMPOTENCY_KEY)).filter(name -> !name.isBlank()),
        body == null ? Buffer.buffer() : body);
  }

  String uri() {
    return query.isEmpty() ? path : path + "?" + query;
  }

  /** Only headers named here leave for endpoints, so keys, tickets and cookies never do. */
  MultiMap headers(String request, int priority) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    headers.set(ErrorAnswers.REQUEST_ID, request);
    headers.set("X-Priority", Integer.toString(priority));
    if (!contentType.isEmpty()) {
      headers.set(CONTENT_TYPE, contentType);
    }
    idempotencyKey.ifPresent(name -> headers.set(IDEMPOTENCY_KEY, name));
    return headers;
  }
}
