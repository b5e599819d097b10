package org.knapweedcleat.standins.engine;

import io.vertx.ext.web.RoutingContext;

/**
 * A prefill that waits or runs.
 *
 * @param call what was asked
 * @param priority the higher, the sooner
 * @param context where the answer goes
 */
record PrefillJob(EngineRequests.Prefill call, int priority, RoutingContext context) {

  String request() {
    return call.request();
  }

  int promptTokens() {
    return TokenGenerator.countPromptTokens(call.prompt());
  }
}
