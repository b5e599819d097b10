package org.knapweedcleat.router.forward.http;

/** Takes requests of callers. */
@FunctionalInterface
public interface CallerHandler {

  /**
   * Takes a request, which has to be answered or aborted in the end.
   *
   * @param exchange the request
   */
  void handle(CallerExchange exchange);
}
