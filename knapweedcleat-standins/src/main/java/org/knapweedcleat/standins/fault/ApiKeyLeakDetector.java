package org.knapweedcleat.standins.fault;

import io.vertx.ext.web.RoutingContext;

/** Counts calls that carry a caller's API key, which must never be forwarded to an endpoint. */
public final class ApiKeyLeakDetector {

  private long leakedCalls;

  private ApiKeyLeakDetector() {}

  /**
   * Creates a detector with a count of zero.
   *
   * @return the detector
   */
  public static ApiKeyLeakDetector create() {
    return new ApiKeyLeakDetector();
  }

  /**
   * Inspects a call's headers, then passes it to the next handler.
   *
   * @param context the call
   */
  public void inspect(RoutingContext context) {
    boolean hasBearerToken =
        context.request().headers().entries().stream()
            .anyMatch(header -> header.getValue().startsWith("Bearer "));
    if (hasBearerToken || context.request().getHeader("Authorization") != null) {
      leakedCalls++;
    }
    context.next();
  }

  /**
   * Returns the number of calls that carried a key.
   *
   * @return the number of calls
   */
  public long leakedCalls() {
    return leakedCalls;
  }
}
