package org.knapweedcleat.router.endpoint;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.knapweedcleat.core.attempt.CallFailure;
import org.knapweedcleat.core.config.EndpointSpec;

/** Speaks the protocol of model engines. */
public final class EngineClient {

  private static final long RESERVE_TIMEOUT_MILLIS = 2_000;
  private static final long IMPORT_TIMEOUT_MILLIS = 10_000;
  private static final long CANCEL_TIMEOUT_MILLIS = 1_000;
  private static final long DECODE_RESPONSE_HEAD_TIMEOUT_MILLIS = 3_000;

  private final Vertx vertx;
  private final EndpointClient client;

  private EngineClient(Vertx vertx, EndpointClient client) {
    this.vertx = vertx;
    this.client = client;
  }

  /**
   * Returns a client for model engines.
   *
   * @param vertx runs timers
   * @param client sends the calls
   * @return the client
   */
  public static EngineClient of(Vertx vertx, EndpointClient client) {
    return new EngineClient(vertx, client);
  }

  /**
   * Reserves decode memory.
   *
   * @param context the request
   * @param attempt the placement
   * @param decode the endpoint
   * @param pieces the pieces of memory
   * @param holdMillis how long the endpoint holds them for the import
   * @return true or the failure
   */
  public Future<Either<CallFailure, Boolean>> reserve(
      EngineCallContext context, int attempt, EndpointSpec decode, int pieces, long holdMillis) {
    JsonObject body = newBody(context, attempt).put("pieces", pieces).put("holdMillis", holdMillis);
    return post(context, decode, "/v1/reserve", body, RESERVE_TIMEOUT_MILLIS)
        .map(result -> result.flatMap(reply -> parseReservation(context, decode, reply)));
  }

  /**
   * Has a prompt read.
   *
   * @param context the request
   * @param attempt the placement
   * @param prefill the endpoint
   * @param prompt the prompt
   * @param prefixHashes the hashes of its leading blocks
   * @param timeoutMillis how long it may take
   * @return the result or the failure
   */
  public Future<Either<CallFailure, PrefillResult>> prefill(
      EngineCallContext context,
      int attempt,
      EndpointSpec prefill,
      String prompt,
      List<Long> prefixHashes,
      long timeoutMillis) {
    JsonObject body =
        newBody(context, attempt)
            .put("prompt", prompt)
            .put("prefixHashes", new JsonArray(prefixHashes));
    return post(context, prefill, "/v1/prefill", body, timeoutMillis)
        .map(result -> result.flatMap(reply -> parsePrefill(context, prefill, reply)));
  }

  /**
   * Has a decode endpoint fetch the KV cache.
   *
   * @param context the request
   * @param attempt the placement
   * @param decode the endpoint that fetches
   * @param prefill the endpoint that has it
   * @param handle its name there
   * @return true or the failure
   */
  public Future<Either<CallFailure, Boolean>> importKvCache(
      EngineCallContext context,
      int attempt,
      EndpointSpec decode,
      EndpointSpec prefill,
      String handle) {
    JsonObject body =
        newBody(context, attempt)
            .put("handle", handle)
            .put("sourceHost", prefill.host())
            .put("sourcePort", prefill.port());
    return post(context, decode, "/v1/import", body, IMPORT_TIMEOUT_MILLIS)
        .map(result -> result.flatMap(EngineClient::parseImport));
  }

  /**
   * Opens a decode stream.
   *
   * @param context the request
   * @param attempt the placement
   * @param decode the endpoint
   * @param fromPosition the first position wanted
   * @param maxTokens the length limit of the whole answer
   * @param listener is told of tokens and of the end
   * @return the stream
   */
  public DecodeStream openDecodeStream(
      EngineCallContext context,
      int attempt,
      EndpointSpec decode,
      int fromPosition,
      int maxTokens,
      DecodeListener listener) {
    JsonObject body =
        newBody(context, attempt).put("fromPosition", fromPosition).put("maxTokens", maxTokens);
    EndpointCall call = newCall(context, decode, "/v1/decode", body, DECODE_RESPONSE_HEAD_TIMEOUT_MILLIS);
    DecodeStream stream = DecodeStream.of(vertx, listener);
    client.openStream(call, context.record()).onSuccess(stream::onResponse);
    return stream;
  }

  /**
   * Has an endpoint release what it holds for a request.
   *
   * @param context the request
   * @param endpoint the endpoint
   * @return true when the endpoint confirmed, or the failure
   */
  public Future<Either<CallFailure, Boolean>> cancel(
      EngineCallContext context, EndpointSpec endpoint) {
    JsonObject body = new JsonObject().put("request", context.request().value());
    return post(context, endpoint, "/v1/cancel", body, CANCEL_TIMEOUT_MILLIS)
        .map(result -> result.flatMap(reply -> reply.isOk() ? Either.right(true) : unknownFailure()));
  }

  private Future<Either<CallFailure, EndpointResponse>> post(
      EngineCallContext context, EndpointSpec endpoint, String uri, JsonObject body, long timeout) {
    return client.send(newCall(context, endpoint, uri, body, timeout), context.record());
  }

  private static EndpointCall newCall(
      EngineCallContext context, EndpointSpec endpoint, String uri, JsonObject body, long timeout) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    headers.set("Content-Type", "application/json");
    headers.set("X-Request-Id", context.request().value());
    headers.set("X-Priority", Integer.toString(context.priority()));
    return new EndpointCall(endpoint, HttpMethod.POST, uri, headers, body.toBuffer(), timeout);
  }

  private static JsonObject newBody(EngineCallContext context, int attempt) {
    return new JsonObject().put("request", context.request().value()).put("attempt", attempt);
  }

  private static Either<CallFailure, Boolean> parseReservation(
      EngineCallContext context, EndpointSpec decode, EndpointResponse reply) {
    if (reply.isOk() && Boolean.TRUE.equals(reply.json().getValue("granted"))) {
      return Either.right(true);
    }
    return parseRefusal(context, decode, reply, "MEMORY");
  }

  private static Either<CallFailure, PrefillResult> parsePrefill(
      EngineCallContext context, EndpointSpec prefill, EndpointResponse reply) {
    JsonObject json = reply.json();
    if (reply.isOk()
        && json.getValue("handle") instanceof String handle
        && json.getValue("computedTokens") instanceof Number computed) {
      return Either.right(new PrefillResult(handle, computed.intValue()));
    }
    return parseRefusal(context, prefill, reply, "BUSY");
  }

  private static <T> Either<CallFailure, T> parseRefusal(
      EngineCallContext context, EndpointSpec endpoint, EndpointResponse reply, String error) {
    if (!reply.isOk() && error.equals(reply.json().getValue("error"))) {
      context.record().recordNotRun(endpoint.id());
      return Either.left(CallFailure.REFUSED);
    }
    return unknownFailure();
  }

  private static Either<CallFailure, Boolean> parseImport(EndpointResponse reply) {
    if (reply.isOk() && Boolean.TRUE.equals(reply.json().getValue("imported"))) {
      return Either.right(true);
    }
    return Either.left(
        switch (String.valueOf(reply.json().getValue("error"))) {
          case "EVICTED" -> CallFailure.EVICTED;
          case "NO_RESERVATION" -> CallFailure.NOT_HELD;
          case "TRANSFER" -> CallFailure.TRANSFER;
          default -> CallFailure.UNKNOWN;
        });
  }

  private static <T> Either<CallFailure, T> unknownFailure() {
    return Either.left(CallFailure.UNKNOWN);
  }
}
