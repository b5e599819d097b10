package org.knapweedcleat.standins.fault;

import io.vertx.ext.web.RoutingContext;

/** Counts calls that carry a caller's key, which no endpoint may ever see. */
public final class KeyWatch {

  private long seen;

  private KeyWatch() {}

  /**
   * Returns a watch that has seen none.
   *
   * @return the watch
   */
  public static KeyWatch create() {
    return new KeyWatch();
  }

  /**
   * Looks at a call and passes it on.
   *
   * @param context the call
   */
  public void look(RoutingContext context) {
    boolean bearer =
        context.request().headers().entries().stream()
            .anyMatch(header -> header.getValue().startsWith("Bearer "));
    if (bearer || context.request().getHeader("Authorization") != null) {
      seen++;
    }
    context.next();
  }

  /**
   * Returns the count.
   *
   * @return the calls that carried a key
   */
  public long seen() {
    return seen;
  }
}
