package org.knapweedcleat.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;

/** A response whose tokens are being decoded and streamed. */
final class DecodeStream {

  private final String request;
  private final long seed;
  private final int maxTokens;
  private final int priority;
  private final HttpServerResponse response;
  private int position;

  private DecodeStream(
      EngineRequests.Decode call, long seed, int priority, HttpServerResponse response) {
    this.request = call.request();
    this.seed = seed;
    this.maxTokens = call.maxTokens();
    this.priority = priority;
    this.response = response;
    this.position = call.fromPosition();
  }

  static DecodeStream of(
      EngineRequests.Decode call, long seed, int priority, HttpServerResponse response) {
    return new DecodeStream(call, seed, priority, response);
  }

  String request() {
    return request;
  }

  int priority() {
    return priority;
  }

  boolean finished() {
    return position >= maxTokens;
  }

  boolean closed() {
    return response.closed();
  }

  void sendNextToken() {
    sendEvent("token", new EngineResponses.Token(position, TokenGenerator.tokenAt(seed, position)));
    position++;
  }

  void sendEnd() {
    sendEvent("end", new EngineResponses.End(maxTokens));
    response.end();
  }

  void abort() {
    if (!response.closed()) {
      response.reset();
    }
  }

  private void sendEvent(String event, Object data) {
    if (!response.closed()) {
      response.write("event: " + event + "\ndata: " + Json.encode(data) + "\n\n");
    }
  }
}
