package org.knapweedcleat.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.knapweedcleat.standins.fault.ResponseSender;

/** Fetches KV caches from prefill engines into reserved memory. */
final class KvImporter {

  private static final int OK_STATUS = 200;
  private static final int EVICTED_STATUS = 410;
  private static final int TRANSFER_FAILED_STATUS = 502;
  private static final int NO_RESERVATION_STATUS = 404;

  private final HttpClient client;
  private final DecodeMemoryAllocator memory;

  private KvImporter(HttpClient client, DecodeMemoryAllocator memory) {
    this.client = client;
    this.memory = memory;
  }

  static KvImporter of(Vertx vertx, DecodeMemoryAllocator memory) {
    return new KvImporter(vertx.createHttpClient(), memory);
  }

  void importKv(RoutingContext context, EngineRequests.Import call) {
    Optional<DecodeMemoryAllocator.Reservation> reservation =
        memory.find(call.request(), call.attempt());
    if (reservation.isEmpty()) {
      ResponseSender.sendError(context, NO_RESERVATION_STATUS, "NO_RESERVATION");
      return;
    }
    client
        .request(HttpMethod.GET, call.sourcePort(), call.sourceHost(), "/v1/kv/" + call.handle())
        .compose(request -> request.send())
        .compose(KvImporter::readBody)
        .onSuccess(result -> completeImport(context, call, reservation.get(), result))
        .onFailure(
            failure -> ResponseSender.sendError(context, TRANSFER_FAILED_STATUS, "TRANSFER"));
  }

  private static Future<FetchResult> readBody(HttpClientResponse response) {
    return response.body().map(body -> new FetchResult(response.statusCode(), body));
  }

  private void completeImport(
      RoutingContext context,
      EngineRequests.Import call,
      DecodeMemoryAllocator.Reservation reservation,
      FetchResult result) {
    if (result.status() == EVICTED_STATUS) {
      ResponseSender.sendError(context, EVICTED_STATUS, "EVICTED");
    } else if (result.status() != OK_STATUS) {
      ResponseSender.sendError(context, TRANSFER_FAILED_STATUS, "TRANSFER");
    } else if (!memory.isCurrent(call.request(), reservation)) {
      ResponseSender.sendError(context, NO_RESERVATION_STATUS, "NO_RESERVATION");
    } else {
      reservation.markImported(result.body().getLong(0));
      ResponseSender.sendJson(context, OK_STATUS, new EngineResponses.Imported(true));
    }
  }

  private record FetchResult(int status, Buffer body) {}
}
