package org.knapweedcleat.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;

/** One answer that is being decoded. */
final class DecodeStream {

  private final String request;
  private final long seed;
  private final int maxTokens;
  private final int priority;
  private final HttpServerResponse response;
  private int position;

  private DecodeStream(Calls.Decode call, long seed, int priority, HttpServerResponse response) {
    this.request = call.request();
    this.seed = seed;
    this.maxTokens = call.maxTokens();
    this.priority = priority;
    this.response = response;
    this.position = call.fromPosition();
  }

  static DecodeStream of(Calls.Decode call, long seed, int priority, HttpServerResponse response) {
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

  void sendToken() {
    write("token", new Replies.Token(position, TokenText.at(seed, position)));
    position++;
  }

  void end() {
    write("end", new Replies.End(maxTokens));
    response.end();
  }

  void cut() {
    if (!response.closed()) {
      response.reset();
    }
  }

  private void write(String event, Object data) {
    if (!response.closed()) {
      response.write("event: " + event + "\ndata: " + Json.encode(data) + "\n\n");
    }
  }
}
