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
import org.knapweedcleat.router.vertx.UniFutures;

/** Serves callers over HTTP; all its state belongs to one event loop. */
public final class CallerServer {

  private static final int STATUS_CONTENT_TOO_LARGE = 413;
  private static final int IDLE_TIMEOUT_SECONDS = 300;
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;

  private final Vertx vertx;
  private final Context eventLoop;
  private final CallerContext context;
  private final String host;
  private final int port;
  private final RequestRuntime serving;
  private final RequestDispatcher dispatcher;
  private final KeyWithdrawalHandler keyWithdrawals;
  private Optional<HttpServer> httpServer = Optional.empty();

  private CallerServer(Vertx vertx, CallerContext context, String host, int port) {
    this.vertx = vertx;
    this.eventLoop = vertx.getOrCreateContext();
    this.context = context;
    this.host = host;
    this.port = port;
    this.serving = RequestRuntime.of(vertx, eventLoop, context);
    this.dispatcher = RequestDispatcher.of(serving);
    this.keyWithdrawals = KeyWithdrawalHandler.of(serving);
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
    return UniFutures.from(() -> onEventLoop(this::listen));
  }

  /**
   * Follows a new document: requests whose keys it no longer declares are ended.
   *
   * @param snapshot the document in force
   */
  public void onDocumentChanged(FleetSnapshot snapshot) {
    eventLoop.runOnContext(ignored -> keyWithdrawals.apply(snapshot));
  }

  /** Begins the planned stop; a second call changes nothing. */
  public void beginDrain() {
    eventLoop.runOnContext(ignored -> dispatcher.drainCoordinator().start());
  }

  /**
   * Waits for the end of the planned stop; the server then listens no longer.
   *
   * @return the requests that were cut, normally 0
   */
  public Uni<Integer> awaitDrained() {
    return UniFutures.from(() -> onEventLoop(() -> dispatcher.drainCoordinator().drained().compose(this::closeServer)));
  }

  /**
   * Answers a question of another instance.
   *
   * @param question the question
   * @param from the incarnation that asks
   * @return the answer; fails for a question of another slice
   */
  public Uni<PeerMessage> handlePeerRequest(PeerMessage question, IncarnationId from) {
    if (question instanceof ForwardedCall call) {
      return UniFutures.from(() -> onEventLoop(() -> dispatcher.atMostOnceCalls().executeForwarded(call).map(done -> done)));
    }
    return Uni.createFrom()
        .failure(new IllegalArgumentException("not a question for callers from " + from));
  }

  /**
   * Lists the requests that this incarnation owns.
   *
   * @return a copy, in any order
   */
  public Uni<Set<RequestId>> activeRequestIds() {
    return UniFutures.from(() -> onEventLoop(() -> Future.succeededFuture(collectActiveRequestIds())));
  }

  private Set<RequestId> collectActiveRequestIds() {
    Set<RequestId> ids = new TreeSet<>();
    serving.activeRequests().all().forEach(call -> ids.add(call.id()));
    return ids;
  }

  private Future<Integer> closeServer(int cut) {
    serving.cancellations().stop();
    return httpServer
        .map(HttpServer::close)
        .orElseGet(Future::succeededFuture)
        .compose(closed -> serving.endpointClient().close())
        .map(closed -> cut);
  }

  private Future<Integer> listen() {
    serving.cancellations().start();
    context.fleet().current().ifPresent(keyWithdrawals::apply);
    Router router = Router.router(vertx);
    router
        .route()
        .handler(BodyHandler.create(false).setBodyLimit(context.limits().maxBodyBytes()))
        .handler(this::handle)
        .failureHandler(this::onBodyFailure);
    HttpServer server = vertx.createHttpServer(serverOptions());
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

  private void handle(RoutingContext routing) {
    dispatcher.handle(routing.request(), routing.body().buffer());
  }

  private void onBodyFailure(RoutingContext routing) {
    ErrorCode error =
        routing.statusCode() == STATUS_CONTENT_TOO_LARGE ? ErrorCode.TOO_LARGE : ErrorCode.MALFORMED;
    reject(routing.request(), error, "the body is too large or cannot be read");
  }

  private void onInvalidRequest(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean large = cause instanceof TooLongFrameException;
    ErrorCode error = large ? ErrorCode.TOO_LARGE : ErrorCode.MALFORMED;
    reject(request, error, "the request is not valid HTTP");
    request.connection().close();
  }

  private void reject(HttpServerRequest request, ErrorCode error, String message) {
    dispatcher.reject(request, ErrorResponse.notRun(error, 0, message));
  }

  private <T> Future<T> onEventLoop(Supplier<Future<T>> work) {
    Promise<T> promise = Promise.promise();
    eventLoop.runOnContext(ignored -> work.get().onComplete(promise));
    return promise.future();
  }
}
