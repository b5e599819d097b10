package org.knapweedcleat.router.caller;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** The least of a model engine: one token for each position, memory by request. */
final class ScriptedEngine implements Function<ScriptedServer.ReceivedRequest, ScriptedServer.Response> {

  private final Set<String> requestsHoldingMemory = ConcurrentHashMap.newKeySet();

  private volatile boolean stallsDecodeCalls;
  private volatile boolean losesMemory;

  /** Decode calls get no answer from now on. */
  void stallDecodeCalls() {
    stallsDecodeCalls = true;
  }

  /** The next decode call is answered; after that the memory is gone, as after a restart. */
  void loseMemoryAfterNextDecode() {
    losesMemory = true;
  }

  /** The requests that hold memory. */
  Set<String> requestsHoldingMemory() {
    return requestsHoldingMemory;
  }

  @Override
  public ScriptedServer.Response apply(ScriptedServer.ReceivedRequest received) {
    String request = received.json().getString("request");
    return switch (received.path()) {
      case "/v1/reserve" -> {
        requestsHoldingMemory.add(request);
        yield json(new JsonObject().put("granted", true));
      }
      case "/v1/prefill" ->
          json(new JsonObject().put("handle", "h-" + request).put("computedTokens", 2));
      case "/v1/import" -> json(new JsonObject().put("imported", true));
      case "/v1/cancel" -> json(new JsonObject().put("released", requestsHoldingMemory.remove(request)));
      case "/v1/decode" -> decode(received.json(), request);
      default -> ScriptedServer.Response.json(404, new JsonObject());
    };
  }

  private ScriptedServer.Response decode(JsonObject call, String request) {
    if (!requestsHoldingMemory.contains(request)) {
      return ScriptedServer.Response.json(404, new JsonObject().put("error", "NO_RESERVATION"));
    }
    if (stallsDecodeCalls) {
      return new ScriptedServer.Response(200, "", List.of());
    }
    if (losesMemory) {
      requestsHoldingMemory.clear();
    }
    List<String> parts = new ArrayList<>();
    int tokens = call.getInteger("maxTokens");
    for (int position = call.getInteger("fromPosition"); position < tokens; position++) {
      JsonObject token = new JsonObject().put("position", position).put("text", "t" + position);
      parts.add("event: token\ndata: " + token.encode() + "\n\n");
    }
    parts.add("event: end\ndata: " + new JsonObject().put("tokens", tokens).encode() + "\n\n");
    return new ScriptedServer.Response(200, "Content-Type: text/event-stream\r\n", parts);
  }

  private static ScriptedServer.Response json(JsonObject body) {
    return ScriptedServer.Response.json(200, body);
  }
}
