package org.knapweedcleat.standins.plain;

import java.util.Map;
import java.util.TreeMap;

/** Counts executed calls by request id, idempotency key and body. */
final class CallCounters {

  private static final int MAX_BODY_KEY_CHARS = 200;

  private final Map<String, Integer> byRequest = new TreeMap<>();
  private final Map<String, Integer> byIdempotencyKey = new TreeMap<>();
  private final Map<String, Integer> byBody = new TreeMap<>();
  private long total;

  private CallCounters() {}

  static CallCounters create() {
    return new CallCounters();
  }

  void recordCall(String request, String idempotencyKey, String body) {
    total++;
    byRequest.merge(String.valueOf(request), 1, Integer::sum);
    if (idempotencyKey != null) {
      byIdempotencyKey.merge(idempotencyKey, 1, Integer::sum);
    }
    byBody.merge(body.substring(0, Math.min(MAX_BODY_KEY_CHARS, body.length())), 1, Integer::sum);
  }

  Report snapshot(long authorizationHeaders) {
    return new Report(total, byRequest, byIdempotencyKey, byBody, authorizationHeaders);
  }

  record Report(
      long total,
      Map<String, Integer> byRequest,
      Map<String, Integer> byIdempotencyKey,
      Map<String, Integer> byBody,
      long authorizationHeaders) {}
}
