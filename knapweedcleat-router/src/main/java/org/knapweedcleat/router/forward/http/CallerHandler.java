package org.knapweedcleat.router.forward.http;

/** Handles requests of callers. */
@FunctionalInterface
public interface CallerHandler {

  /**
   * Handles a request, which must eventually be responded to or aborted.
   *
   * @param exchange the request
   */
  void handle(CallerExchange exchange);
}
