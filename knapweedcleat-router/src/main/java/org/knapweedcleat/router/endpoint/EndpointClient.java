package org.knapweedcleat.router.endpoint;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import org.knapweedcleat.core.attempt.CallFailure;
import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.router.http.HttpClients;

/**
 * Sends each call to its endpoint once, over a connection of its own, whose state no earlier call
 * can have affected.
 *
 * <p>The HTTP library obtains a connection before it writes anything. A call that fails before that
 * was not sent; one that fails later may have been. This client neither retries calls nor follows
 * redirects.
 */
public final class EndpointClient {

  /** The response header by which an endpoint reports that it has not executed the call. */
  public static final String NOT_RUN_HEADER = "X-Not-Run";

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 1_024;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int MAX_RESPONSE_BYTES = 16 << 20;

  private final Vertx vertx;
  private final HttpClient client;

  private EndpointClient(Vertx vertx) {
    this.vertx = vertx;
    this.client = createClient(vertx);
  }

  /**
   * Creates a client.
   *
   * @param vertx the Vert.x instance to run on
   * @return the client
   */
  public static EndpointClient create(Vertx vertx) {
    return new EndpointClient(vertx);
  }

  /**
   * Sends a call.
   *
   * @param call the call
   * @param sentCalls records the call before its first byte is sent
   * @return the response or the failure; the future itself never fails
   */
  public Future<Either<CallFailure, EndpointResponse>> send(
      EndpointCall call, SentCallTracker sentCalls) {
    return client
        .request(requestOptions(call))
        .<Optional<HttpClientRequest>>map(Optional::of)
        .otherwise(Optional.empty())
        .compose(request -> sendOn(request, call, sentCalls));
  }

  /**
   * Sends a call whose response body is read as a stream.
   *
   * @param call the call; its time-out covers the request and the response head
   * @param sentCalls records the call before its first byte is sent
   * @return the response without its body, or the failure; the future itself never fails
   */
  public Future<Either<CallFailure, HttpClientResponse>> openStream(
      EndpointCall call, SentCallTracker sentCalls) {
    return client
        .request(requestOptions(call))
        .<Optional<HttpClientRequest>>map(Optional::of)
        .otherwise(Optional.empty())
        .compose(request -> openOn(request, call, sentCalls));
  }

  /**
   * Closes all connections.
   *
   * @return completes when they are closed
   */
  public Future<Void> close() {
    return client.close();
  }

  private Future<Either<CallFailure, EndpointResponse>> sendOn(
      Optional<HttpClientRequest> connection, EndpointCall call, SentCallTracker sentCalls) {
    if (connection.isEmpty()) {
      return Future.succeededFuture(Either.left(CallFailure.NOT_SENT));
    }
    HttpClientRequest request = connection.get();
    request.exceptionHandler(EndpointClient::ignoreFailure);
    sentCalls.recordSent(call.endpoint().id());
    long timer = vertx.setTimer(call.timeoutMillis(), id -> request.reset());
    return request
        .send(call.body())
        .compose(EndpointClient::readResponse)
        .map(received -> checkNotRun(received, call, sentCalls))
        .otherwise(Either.left(CallFailure.UNKNOWN))
        .onComplete(ignored -> vertx.cancelTimer(timer));
  }

  private Future<Either<CallFailure, HttpClientResponse>> openOn(
      Optional<HttpClientRequest> connection, EndpointCall call, SentCallTracker sentCalls) {
    if (connection.isEmpty()) {
      return Future.succeededFuture(Either.left(CallFailure.NOT_SENT));
    }
    HttpClientRequest request = connection.get();
    request.exceptionHandler(EndpointClient::ignoreFailure);
    sentCalls.recordSent(call.endpoint().id());
    long timer = vertx.setTimer(call.timeoutMillis(), id -> request.reset());
    return request
        .send(call.body())
        .<Either<CallFailure, HttpClientResponse>>map(Either::right)
        .otherwise(Either.left(CallFailure.UNKNOWN))
        .onComplete(ignored -> vertx.cancelTimer(timer));
  }

  private static Future<ReceivedResponse> readResponse(HttpClientResponse response) {
    Buffer body = Buffer.buffer();
    response.exceptionHandler(EndpointClient::ignoreFailure);
    response.handler(
        part -> {
          body.appendBuffer(part);
          if (body.length() > MAX_RESPONSE_BYTES) {
            response.request().reset();
          }
        });
    return response.end().map(ignored -> ReceivedResponse.of(response, body));
  }

  /** Keeps the library from logging failures, which are reported by the futures as well. */
  private static void ignoreFailure(Throwable failure) {}

  private static Either<CallFailure, EndpointResponse> checkNotRun(
      ReceivedResponse received, EndpointCall call, SentCallTracker sentCalls) {
    if (received.notRun()) {
      sentCalls.recordNotRun(call.endpoint().id());
      return Either.left(CallFailure.REFUSED);
    }
    return Either.right(received.response());
  }

  private static RequestOptions requestOptions(EndpointCall call) {
    return new RequestOptions()
        .setHost(call.endpoint().host())
        .setPort(call.endpoint().port())
        .setMethod(call.method())
        .setURI(call.uri())
        .setHeaders(call.headers())
        .setFollowRedirects(false)
        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
  }

  private static HttpClient createClient(Vertx vertx) {
    HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENDPOINT);
    return HttpClients.createWithoutReuse(vertx, options, pool);
  }

  private record ReceivedResponse(EndpointResponse response, boolean notRun) {

    static ReceivedResponse of(HttpClientResponse httpResponse, Buffer body) {
      String contentType = httpResponse.getHeader("Content-Type");
      EndpointResponse response =
          new EndpointResponse(
              httpResponse.statusCode(), contentType == null ? "" : contentType, body);
      boolean notRun =
          httpResponse.statusCode() == STATUS_SERVICE_UNAVAILABLE
              && "true".equalsIgnoreCase(httpResponse.getHeader(NOT_RUN_HEADER));
      return new ReceivedResponse(response, notRun);
    }
  }
}
