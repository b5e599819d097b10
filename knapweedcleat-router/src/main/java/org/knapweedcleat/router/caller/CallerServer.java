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
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.once.ForwardedCall;
import org.knapweedcleat.router.listener.ListenerGuard;
import org.knapweedcleat.router.vertx.UniFutures;

/** HTTP server for callers; all its state is confined to one event loop. */
public final class CallerServer {

  private static final int STATUS_CONTENT_TOO_LARGE = 413;
  private static final int IDLE_TIMEOUT_SECONDS = 300;
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;

  private final Vertx vertx;
  private final Context eventLoop;
  private final CallerContext context;
  private final String host;
  private final int port;
  private final RequestRuntime runtime;
  private final RequestDispatcher dispatcher;
  private final KeyWithdrawalHandler keyWithdrawals;
  private Optional<HttpServer> httpServer = Optional.empty();
  private Optional<ListenerGuard> guard = Optional.empty();

  private CallerServer(Vertx vertx, CallerContext context, String host, int port) {
    this.vertx = vertx;
    this.eventLoop = vertx.getOrCreateContext();
    this.context = context;
    this.host = host;
    this.port = port;
    this.runtime = RequestRuntime.of(vertx, eventLoop, context);
    this.dispatcher = RequestDispatcher.of(runtime);
    this.keyWithdrawals = KeyWithdrawalHandler.of(runtime);
  }

  /**
   * Creates a server that is not listening yet.
   *
   * @param vertx the Vert.x instance to run on
   * @param context the dependencies
   * @param host the IP address to listen on
   * @param port the TCP port, 0 for any free port
   * @return the server
   */
  public static CallerServer create(Vertx vertx, CallerContext context, String host, int port) {
    Objects.requireNonNull(host, "host");
    return new CallerServer(vertx, Objects.requireNonNull(context, "context"), host, port);
  }

  /**
   * Limits what callers may hold before their requests are complete; must be called before start.
   *
   * @param listenerGuard applies the limits
   */
  public void guardWith(ListenerGuard listenerGuard) {
    guard = Optional.of(listenerGuard);
  }

  /**
   * Starts listening.
   *
   * @return the bound port
   */
  public Uni<Integer> start() {
    return UniFutures.from(() -> onEventLoop(this::listen));
  }

  /**
   * Aborts the requests whose keys a new document no longer declares.
   *
   * @param snapshot the active document
   */
  public void onDocumentChanged(FleetSnapshot snapshot) {
    eventLoop.runOnContext(ignored -> keyWithdrawals.apply(snapshot));
  }

  /** Starts the drain; has no effect if it has already started. */
  public void beginDrain() {
    eventLoop.runOnContext(ignored -> dispatcher.drainCoordinator().start());
  }

  /**
   * Waits for the end of the drain, then stops listening.
   *
   * @return the number of requests aborted, 0 unless the drain timed out
   */
  public Uni<Integer> awaitDrained() {
    return UniFutures.from(
        () ->
            onEventLoop(() -> dispatcher.drainCoordinator().drained().compose(this::closeServer)));
  }

  /**
   * Handles a request from another instance.
   *
   * @param request the request
   * @param sender the incarnation that sent it
   * @return the reply; fails unless the request is a forwarded call
   */
  public Uni<PeerMessage> handlePeerRequest(PeerMessage request, IncarnationId sender) {
    if (request instanceof ForwardedCall call) {
      return UniFutures.from(
          () ->
              onEventLoop(
                  () -> dispatcher.atMostOnceCalls().executeForwarded(call).map(done -> done)));
    }
    return Uni.createFrom()
        .failure(
            new IllegalArgumentException("not a request for the caller server, from " + sender));
  }

  /**
   * Returns the ids of the requests in progress that this incarnation owns.
   *
   * @return a copy
   */
  public Uni<Set<RequestId>> activeRequestIds() {
    return UniFutures.from(
        () -> onEventLoop(() -> Future.succeededFuture(collectActiveRequestIds())));
  }

  private Set<RequestId> collectActiveRequestIds() {
    Set<RequestId> ids = new TreeSet<>();
    runtime.activeRequests().all().forEach(call -> ids.add(call.id()));
    return ids;
  }

  private Future<Integer> closeServer(int abortedRequests) {
    runtime.cancellations().stop();
    return httpServer
        .map(HttpServer::close)
        .orElseGet(Future::succeededFuture)
        .compose(closed -> runtime.endpointClient().close())
        .map(closed -> abortedRequests);
  }

  private Future<Integer> listen() {
    runtime.cancellations().start();
    context.fleet().current().ifPresent(keyWithdrawals::apply);
    Router router = Router.router(vertx);
    router
        .route()
        .handler(BodyHandler.create(false).setBodyLimit(context.limits().maxBodyBytes()))
        .handler(this::handle)
        .failureHandler(this::onBodyFailure);
    HttpServer server = vertx.createHttpServer(serverOptions());
    guard.ifPresent(limits -> limits.protect(server, context.limits().maxBodyBytes()));
    return server
        .requestHandler(router)
        .invalidRequestHandler(this::onInvalidRequest)
        .listen(port, host)
        .onSuccess(bound -> httpServer = Optional.of(bound))
        .map(HttpServer::actualPort);
  }

  private HttpServerOptions serverOptions() {
    return new HttpServerOptions()
        .setMaxHeaderSize(context.limits().maxHeaderBytes())
        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
        .setHttp2ClearTextEnabled(false)
        .setHandle100ContinueAutomatically(true)
        .setIdleTimeout(IDLE_TIMEOUT_SECONDS);
  }

  private void handle(RoutingContext routingContext) {
    dispatcher.handle(routingContext.request(), routingContext.body().buffer());
  }

  private void onBodyFailure(RoutingContext routingContext) {
    ErrorCode error =
        routingContext.statusCode() == STATUS_CONTENT_TOO_LARGE
            ? ErrorCode.TOO_LARGE
            : ErrorCode.MALFORMED;
    reject(routingContext.request(), error, "the request body is too large or cannot be read");
  }

  private void onInvalidRequest(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean tooLarge = cause instanceof TooLongFrameException;
    ErrorCode error = tooLarge ? ErrorCode.TOO_LARGE : ErrorCode.MALFORMED;
    reject(request, error, "the request is not valid HTTP");
    request.connection().close();
  }

  private void reject(HttpServerRequest request, ErrorCode error, String message) {
    dispatcher.reject(request, ErrorResponse.notRun(error, 0, message));
  }

  private <T> Future<T> onEventLoop(Supplier<Future<T>> task) {
    Promise<T> promise = Promise.promise();
    eventLoop.runOnContext(ignored -> task.get().onComplete(promise));
    return promise.future();
  }
}
