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

/**
 * Sends calls to endpoints, each exactly once.
 *
 * <p>The client library hands out a connection before anything is written, which is the boundary
 * between "no byte left" and "bytes may have left". Nothing is sent again from here and no redirect
 * is followed.
 */
public final class EndpointClient {

  /** The header by which an endpoint says that it has done nothing. */
  public static final String NOT_RUN_HEADER = "X-Not-Run";

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 1_024;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int MAX_RESPONSE_BYTES = 16 << 20;

  private final Vertx vertx;
  private final HttpClient pooled;
  private final HttpClient unpooled;

  private EndpointClient(Vertx vertx) {
    this.vertx = vertx;
    this.pooled = createClient(vertx, true);
    this.unpooled = createClient(vertx, false);
  }

  /**
   * Returns a client without connections.
   *
   * @param vertx runs the client
   * @return the client
   */
  public static EndpointClient create(Vertx vertx) {
    return new EndpointClient(vertx);
  }

  /**
   * Sends a call that may use a connection which carried other calls before.
   *
   * @param call the call
   * @param record is told before the first byte leaves
   * @return the answer or the failure; the future itself never fails
   */
  public Future<Either<CallFailure, EndpointResponse>> send(EndpointCall call, SentCallTracker record) {
    return exchange(pooled, call, record);
  }

  /**
   * Sends a call over a connection of its own, which no earlier call can have spoilt.
   *
   * @param call the call
   * @param record is told before the first byte leaves
   * @return the answer or the failure; the future itself never fails
   */
  public Future<Either<CallFailure, EndpointResponse>> sendUnpooled(EndpointCall call, SentCallTracker record) {
    return exchange(unpooled, call, record);
  }

  /**
   * Opens a call whose answer is read as it comes.
   *
   * @param call the call; its time-out is for the connection and the response's head
   * @param record is told before the first byte leaves
   * @return the response's head or the failure; the future itself never fails
   */
  public Future<Either<CallFailure, HttpClientResponse>> openStream(EndpointCall call, SentCallTracker record) {
    return pooled
        .request(requestOptions(call))
        .<Optional<HttpClientRequest>>map(Optional::of)
        .otherwise(Optional.empty())
        .compose(request -> openOn(request, call, record));
  }

  /**
   * Closes all connections.
   *
   * @return done when they are closed
   */
  public Future<Void> close() {
    return Future.join(pooled.close(), unpooled.close()).mapEmpty();
  }

  private Future<Either<CallFailure, EndpointResponse>> exchange(
      HttpClient client, EndpointCall call, SentCallTracker record) {
    return client
        .request(requestOptions(call))
        .<Optional<HttpClientRequest>>map(Optional::of)
        .otherwise(Optional.empty())
        .compose(request -> sendOn(request, call, record));
  }

  private Future<Either<CallFailure, EndpointResponse>> sendOn(
      Optional<HttpClientRequest> connected, EndpointCall call, SentCallTracker record) {
    if (connected.isEmpty()) {
      return Future.succeededFuture(Either.left(CallFailure.NOT_SENT));
    }
    HttpClientRequest request = connected.get();
    request.exceptionHandler(EndpointClient::ignoreFailure);
    record.recordSent(call.endpoint().id());
    long timer = vertx.setTimer(call.timeoutMillis(), id -> request.reset());
    return request
        .send(call.body())
        .compose(EndpointClient::readResponse)
        .map(reply -> checkNotRun(reply, call, record))
        .otherwise(Either.left(CallFailure.UNKNOWN))
        .onComplete(done -> vertx.cancelTimer(timer));
  }

  private Future<Either<CallFailure, HttpClientResponse>> openOn(
      Optional<HttpClientRequest> connected, EndpointCall call, SentCallTracker record) {
    if (connected.isEmpty()) {
      return Future.succeededFuture(Either.left(CallFailure.NOT_SENT));
    }
    HttpClientRequest request = connected.get();
    request.exceptionHandler(EndpointClient::ignoreFailure);
    record.recordSent(call.endpoint().id());
    long timer = vertx.setTimer(call.timeoutMillis(), id -> request.reset());
    return request
        .send(call.body())
        .<Either<CallFailure, HttpClientResponse>>map(Either::right)
        .otherwise(Either.left(CallFailure.UNKNOWN))
        .onComplete(done -> vertx.cancelTimer(timer));
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
    return response.end().map(ended -> ReceivedResponse.of(response, body));
  }

  /** The library logs failures that have no handler; each is seen by its future as well. */
  private static void ignoreFailure(Throwable failure) {}

  private static Either<CallFailure, EndpointResponse> checkNotRun(
      ReceivedResponse reply, EndpointCall call, SentCallTracker record) {
    if (reply.notRun()) {
      record.recordNotRun(call.endpoint().id());
      return Either.left(CallFailure.REFUSED);
    }
    return Either.right(reply.response());
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

  private static HttpClient createClient(Vertx vertx, boolean keepAlive) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setKeepAlive(keepAlive)
            .setPipelining(false)
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENDPOINT);
    return vertx.createHttpClient(options, pool);
  }

  private record ReceivedResponse(EndpointResponse response, boolean notRun) {

    static ReceivedResponse of(HttpClientResponse response, Buffer body) {
      String type = response.getHeader("Content-Type");
      EndpointResponse reply =
          new EndpointResponse(response.statusCode(), type == null ? "" : type, body);
      boolean notRun =
          response.statusCode() == STATUS_SERVICE_UNAVAILABLE
              && "true".equalsIgnoreCase(response.getHeader(NOT_RUN_HEADER));
      return new ReceivedResponse(reply, notRun);
    }
  }
}
