package org.knapweedcleat.router.caller;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** A minimal model engine: generates one token per position and holds memory per request. */
final class ScriptedEngine
    implements Function<ScriptedServer.ReceivedRequest, ScriptedServer.Response> {

  private final Set<String> requestsHoldingMemory = ConcurrentHashMap.newKeySet();

  private volatile boolean stallsDecodeCalls;
  private volatile boolean losesMemory;

  /** Leaves further decode calls without a response. */
  void stallDecodeCalls() {
    stallsDecodeCalls = true;
  }

  /** Loses all memory after accepting the next decode call, as a restart would. */
  void loseMemoryAfterNextDecode() {
    losesMemory = true;
  }

  /** Returns the ids of the requests that hold memory. */
  Set<String> requestsHoldingMemory() {
    return requestsHoldingMemory;
  }

  @Override
  public ScriptedServer.Response apply(ScriptedServer.ReceivedRequest request) {
    String requestId = request.json().getString("request");
    return switch (request.path()) {
      case "/v1/reserve" -> {
        requestsHoldingMemory.add(requestId);
        yield json(new JsonObject().put("granted", true));
      }
      case "/v1/prefill" ->
          json(new JsonObject().put("handle", "h-" + requestId).put("computedTokens", 2));
      case "/v1/import" -> json(new JsonObject().put("imported", true));
      case "/v1/cancel" ->
          json(new JsonObject().put("released", requestsHoldingMemory.remove(requestId)));
      case "/v1/decode" -> decode(request.json(), requestId);
      default -> ScriptedServer.Response.json(404, new JsonObject());
    };
  }

  private ScriptedServer.Response decode(JsonObject body, String requestId) {
    if (!requestsHoldingMemory.contains(requestId)) {
      return ScriptedServer.Response.json(404, new JsonObject().put("error", "NO_RESERVATION"));
    }
    if (stallsDecodeCalls) {
      return new ScriptedServer.Response(200, "", List.of());
    }
    if (losesMemory) {
      requestsHoldingMemory.clear();
    }
    List<String> parts = new ArrayList<>();
    int tokens = body.getInteger("maxTokens");
    for (int position = body.getInteger("fromPosition"); position < tokens; position++) {
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
