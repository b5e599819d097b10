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

/** Client for the HTTP protocol of model engines. */
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
   * Creates a client for model engines.
   *
   * @param vertx the Vert.x instance for timers
   * @param client the client that sends the calls
   * @return the client
   */
  public static EngineClient of(Vertx vertx, EndpointClient client) {
    return new EngineClient(vertx, client);
  }

  /**
   * Reserves decode memory.
   *
   * @param context the context of the request
   * @param attempt the attempt number of the placement
   * @param decode the endpoint
   * @param pieces the number of memory pieces to reserve
   * @param holdMillis how long the endpoint holds the reservation until the import
   * @return true, or the failure
   */
  public Future<Either<CallFailure, Boolean>> reserve(
      EngineCallContext context, int attempt, EndpointSpec decode, int pieces, long holdMillis) {
    JsonObject body = newBody(context, attempt).put("pieces", pieces).put("holdMillis", holdMillis);
    return post(context, decode, "/v1/reserve", body, RESERVE_TIMEOUT_MILLIS)
        .map(result -> result.flatMap(response -> parseReservation(context, decode, response)));
  }

  /**
   * Prefills a prompt.
   *
   * @param context the context of the request
   * @param attempt the attempt number of the placement
   * @param prefill the endpoint
   * @param prompt the prompt
   * @param prefixHashes the prefix hashes of the prompt
   * @param timeoutMillis the time limit
   * @return the result, or the failure
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
        .map(result -> result.flatMap(response -> parsePrefill(context, prefill, response)));
  }

  /**
   * Makes a decode endpoint fetch the KV cache from a prefill endpoint.
   *
   * @param context the context of the request
   * @param attempt the attempt number of the placement
   * @param decode the endpoint that fetches the cache
   * @param prefill the endpoint that holds the cache
   * @param handle the prefill endpoint's handle of the cache
   * @return true, or the failure
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
   * @param context the context of the request
   * @param attempt the attempt number of the placement
   * @param decode the endpoint
   * @param fromPosition the position of the first token to send
   * @param maxTokens the maximum number of output tokens, including those before it
   * @param listener receives the tokens and the end of the stream
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
    EndpointCall call =
        newCall(context, decode, "/v1/decode", body, DECODE_RESPONSE_HEAD_TIMEOUT_MILLIS);
    DecodeStream stream = DecodeStream.of(vertx, listener);
    client.openStream(call, context.sentCalls()).onSuccess(stream::onResponse);
    return stream;
  }

  /**
   * Makes an endpoint release everything it holds for a request.
   *
   * @param context the context of the request
   * @param endpoint the endpoint
   * @return true if the endpoint confirmed, or the failure
   */
  public Future<Either<CallFailure, Boolean>> cancel(
      EngineCallContext context, EndpointSpec endpoint) {
    JsonObject body = new JsonObject().put("request", context.request().value());
    return post(context, endpoint, "/v1/cancel", body, CANCEL_TIMEOUT_MILLIS)
        .map(
            result ->
                result.flatMap(
                    response -> response.isOk() ? Either.right(true) : unknownFailure()));
  }

  private Future<Either<CallFailure, EndpointResponse>> post(
      EngineCallContext context,
      EndpointSpec endpoint,
      String uri,
      JsonObject body,
      long timeoutMillis) {
    return client.send(newCall(context, endpoint, uri, body, timeoutMillis), context.sentCalls());
  }

  private static EndpointCall newCall(
      EngineCallContext context,
      EndpointSpec endpoint,
      String uri,
      JsonObject body,
      long timeoutMillis) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    headers.set("Content-Type", "application/json");
    headers.set("X-Request-Id", context.request().value());
    headers.set("X-Priority", Integer.toString(context.priority()));
    return new EndpointCall(
        endpoint, HttpMethod.POST, uri, headers, body.toBuffer(), timeoutMillis);
  }

  private static JsonObject newBody(EngineCallContext context, int attempt) {
    return new JsonObject().put("request", context.request().value()).put("attempt", attempt);
  }

  private static Either<CallFailure, Boolean> parseReservation(
      EngineCallContext context, EndpointSpec decode, EndpointResponse response) {
    if (response.isOk() && Boolean.TRUE.equals(response.json().getValue("granted"))) {
      return Either.right(true);
    }
    return parseRefusal(context, decode, response, "MEMORY");
  }

  private static Either<CallFailure, PrefillResult> parsePrefill(
      EngineCallContext context, EndpointSpec prefill, EndpointResponse response) {
    JsonObject json = response.json();
    if (response.isOk()
        && json.getValue("handle") instanceof String handle
        && json.getValue("computedTokens") instanceof Number computed) {
      return Either.right(new PrefillResult(handle, computed.intValue()));
    }
    return parseRefusal(context, prefill, response, "BUSY");
  }

  private static <T> Either<CallFailure, T> parseRefusal(
      EngineCallContext context, EndpointSpec endpoint, EndpointResponse response, String error) {
    if (!response.isOk() && error.equals(response.json().getValue("error"))) {
      context.sentCalls().recordNotRun(endpoint.id());
      return Either.left(CallFailure.REFUSED);
    }
    return unknownFailure();
  }

  private static Either<CallFailure, Boolean> parseImport(EndpointResponse response) {
    if (response.isOk() && Boolean.TRUE.equals(response.json().getValue("imported"))) {
      return Either.right(true);
    }
    return Either.left(
        switch (String.valueOf(response.json().getValue("error"))) {
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
