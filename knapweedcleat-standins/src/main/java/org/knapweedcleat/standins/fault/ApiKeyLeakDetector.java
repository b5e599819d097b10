package org.knapweedcleat.standins.fault;

import io.vertx.ext.web.RoutingContext;

/** Counts calls that carry a caller's key, which no endpoint may ever see. */
public final class ApiKeyLeakDetector {

  private long leakedCalls;

  private ApiKeyLeakDetector() {}

  /**
   * Returns a watch that has seen none.
   *
   * @return the watch
   */
  public static ApiKeyLeakDetector create() {
    return new ApiKeyLeakDetector();
  }

  /**
   * Looks at a call and passes it on.
   *
   * @param context the call
   */
  public void inspect(RoutingContext context) {
    boolean bearer =
        context.request().headers().entries().stream()
            .anyMatch(header -> header.getValue().startsWith("Bearer "));
    if (bearer || context.request().getHeader("Authorization") != null) {
      leakedCalls++;
    }
    context.next();
  }

  /**
   * Returns the count.
   *
   * @return the calls that carried a key
   */
  public long leakedCalls() {
    return leakedCalls;
  }
}
