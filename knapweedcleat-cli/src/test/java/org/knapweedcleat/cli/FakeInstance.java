package org.knapweedcleat.cli;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake operator port that closes after two more answers once a planned stop is requested. */
final class FakeInstance {

  private final HttpServer server;
  private final JsonObject status;
  private final AtomicInteger answersLeft = new AtomicInteger(Integer.MAX_VALUE);

  private FakeInstance(Vertx vertx, JsonObject status) {
    this.server = vertx.createHttpServer().requestHandler(this::answer);
    this.status = status;
  }

  static FakeInstance start(Vertx vertx, String name, long revision, String state) {
    JsonObject status =
        new JsonObject()
            .put("instance", name)
            .put("domain", "a")
            .put("state", state)
            .put("revision", revision)
            .put("digest", "0123456789")
            .put("documentAgeMillis", 5)
            .put("members", new JsonArray())
            .put("inFlight", 3)
            .put("invariantViolations", 0);
    FakeInstance instance = new FakeInstance(vertx, status);
    instance.server.listen(0, "127.0.0.1").await();
    return instance;
  }

  String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  private void answer(HttpServerRequest request) {
    if (answersLeft.getAndDecrement() <= 0) {
      server.close();
      return;
    }
    switch (request.path()) {
      case "/status" -> request.response().end(status.encode());
      case "/audit" -> request.response().end(audit(request.getParam("after")).encode());
      default -> {
        answersLeft.set(2);
        request.response().setStatusCode(202).end("{}");
      }
    }
  }

  /** Returns the events 3 to 5 in pages of two, as if earlier events had been discarded. */
  private static JsonObject audit(String after) {
    long first = Math.max(3, Long.parseLong(after) + 1);
    JsonArray entries = new JsonArray();
    for (long number = first; number <= Math.min(5, first + 1); number++) {
      entries.add(new JsonObject().put("number", number).put("atMillis", 0).put("kind", "DRAIN"));
    }
    return new JsonObject()
        .put("next", first + entries.size() - 1)
        .put("missed", Math.max(0, 2 - Long.parseLong(after)))
        .put("entries", entries);
  }
}
