package org.knapweedcleat.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.knapweedcleat.standins.fault.Answers;

/** Fetches KV caches from the engines that prefilled them. */
final class KvImporter {

  private static final int OK_STATUS = 200;
  private static final int EVICTED_STATUS = 410;
  private static final int TRANSFER_STATUS = 502;
  private static final int NO_RESERVATION_STATUS = 404;

  private final HttpClient client;
  private final DecodeMemory memory;

  private KvImporter(HttpClient client, DecodeMemory memory) {
    this.client = client;
    this.memory = memory;
  }

  static KvImporter of(Vertx vertx, DecodeMemory memory) {
    return new KvImporter(vertx.createHttpClient(), memory);
  }

  void handle(RoutingContext context, Calls.Import call) {
    Optional<DecodeMemory.Holding> holding = memory.find(call.request(), call.attempt());
    if (holding.isEmpty()) {
      Answers.error(context, NO_RESERVATION_STATUS, "NO_RESERVATION");
      return;
    }
    client
        .request(HttpMethod.GET, call.sourcePort(), call.sourceHost(), "/v1/kv/" + call.handle())
        .compose(request -> request.send())
        .compose(KvImporter::read)
        .onSuccess(fetched -> finish(context, call, holding.get(), fetched))
        .onFailure(failure -> Answers.error(context, TRANSFER_STATUS, "TRANSFER"));
  }

  private static Future<Fetched> read(HttpClientResponse response) {
    return response.body().map(body -> new Fetched(response.statusCode(), body));
  }

  private void finish(
      RoutingContext context, Calls.Import call, DecodeMemory.Holding holding, Fetched fetched) {
    if (fetched.status() == EVICTED_STATUS) {
      Answers.error(context, EVICTED_STATUS, "EVICTED");
    } else if (fetched.status() != OK_STATUS) {
      Answers.error(context, TRANSFER_STATUS, "TRANSFER");
    } else if (!memory.holds(call.request(), holding)) {
      Answers.error(context, NO_RESERVATION_STATUS, "NO_RESERVATION");
    } else {
      holding.fill(fetched.body().getLong(0));
      Answers.json(context, OK_STATUS, new Replies.Imported(true));
    }
  }

  private record Fetched(int status, Buffer body) {}
}
