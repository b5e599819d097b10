package org.knapweedcleat.router.caller;

import io.netty.handler.codec.TooLongFrameException;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.knapweedcleat.core.attempt.CallerError;
import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.router.vertx.Unis;

/** Serves callers over HTTP; all its state belongs to one event loop. */
public final class CallerServer {

  private static final int TOO_LARGE = 413;
  private static final int IDLE_SECONDS = 300;
  private static final int MAX_LINE_BYTES = 8_192;

  private final Vertx vertx;
  private final Context loop;
  private final CallerContext context;
  private final String host;
  private final int port;
  private final Serving serving;
  private final CallDispatch dispatch;

  private CallerServer(Vertx vertx, CallerContext context, String host, int port) {
    this.vertx = vertx;
    this.loop = vertx.getOrCreateContext();
    this.context = context;
    this.host = host;
    this.port = port;
    this.serving = Serving.of(vertx, loop, context);
    this.dispatch = CallDispatch.of(serving);
  }

  /**
   * Returns a server that does not listen yet.
   *
   * @param vertx runs the server
   * @param context what it needs of the rest of the instance
   * @param host the IP number to listen on
   * @param port the TCP port, 0 for any free one
   * @return the server
   */
  public static CallerServer create(Vertx vertx, CallerContext context, String host, int port) {
    Objects.requireNonNull(host, "host");
    return new CallerServer(vertx, Objects.requireNonNull(context, "context"), host, port);
  }

  /**
   * Begins to listen.
   *
   * @return the bound port
   */
  public Uni<Integer> start() {
    return Unis.from(() -> onLoop(this::listen));
  }

  /**
   * Lists the requests that this incarnation owns.
   *
   * @return a copy, in any order
   */
  public Uni<Set<RequestId>> running() {
    return Unis.from(() -> onLoop(() -> Future.succeededFuture(runningNow())));
  }

  private Set<RequestId> runningNow() {
    Set<RequestId> ids = new TreeSet<>();
    serving.running().all().forEach(call -> ids.add(call.id()));
    return ids;
  }

  private Future<Integer> listen() {
    serving.cancels().start();
    Router router = Router.router(vertx);
    router
        .route()
        .handler(BodyHandler.create(false).setBodyLimit(context.limits().maxBodyBytes()))
        .handler(this::handle)
        .failureHandler(this::refuse);
    HttpServer server = vertx.createHttpServer(options());
    return server
        .requestHandler(router)
        .invalidRequestHandler(this::invalid)
        .listen(port, host)
        .map(HttpServer::actualPort);
  }

  private HttpServerOptions options() {
    return new HttpServerOptions()
        .setMaxHeaderSize(context.limits().maxHeaderBytes())
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setHttp2ClearTextEnabled(false)
        .setIdleTimeout(IDLE_SECONDS);
  }

  private void handle(RoutingContext routing) {
    dispatch.handle(routing.request(), routing.body().buffer());
  }

  private void refuse(RoutingContext routing) {
    CallerError error =
        routing.statusCode() == TOO_LARGE ? CallerError.TOO_LARGE : CallerError.MALFORMED;
    refuseAs(routing.request(), error, "the body is too large or cannot be read");
  }

  private void invalid(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean large = cause instanceof TooLongFrameException;
    CallerError error = large ? CallerError.TOO_LARGE : CallerError.MALFORMED;
    refuseAs(request, error, "the request is not valid HTTP");
    request.connection().close();
  }

  private void refuseAs(HttpServerRequest request, CallerError error, String message) {
    dispatch.refuse(request, CallerFailure.notRun(error, 0, message));
  }

  private <T> Future<T> onLoop(Supplier<Future<T>> work) {
    Promise<T> promise = Promise.promise();
    loop.runOnContext(ignored -> work.get().onComplete(promise));
    return promise.future();
  }
}
