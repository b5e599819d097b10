package org.knapweedcleat.standins.engine;

import io.vertx.ext.web.RoutingContext;

/**
 * A queued or running prefill.
 *
 * @param call the request
 * @param priority the scheduling priority; higher runs first
 * @param context the call to respond to
 */
record PrefillJob(EngineRequests.Prefill call, int priority, RoutingContext context) {

  String request() {
    return call.request();
  }

  int promptTokens() {
    return TokenGenerator.countPromptTokens(call.prompt());
  }
}
