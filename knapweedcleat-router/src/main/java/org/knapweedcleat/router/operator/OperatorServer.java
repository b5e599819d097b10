package org.knapweedcleat.router.operator;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Objects;
import java.util.Optional;
import org.knapweedcleat.router.listener.ListenerGuard;
import org.knapweedcleat.router.vertx.UniFutures;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server for operators: health, metrics, status, audit trail and drain. */
public final class OperatorServer {

  private static final int HTTP_ACCEPTED = 202;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_NOT_FOUND = 404;
  private static final int HTTP_METHOD_NOT_ALLOWED = 405;
  private static final int HTTP_SERVICE_UNAVAILABLE = 503;
  private static final long MAX_DISCARD_BYTES = 1_048_576;
  private static final String JSON_CONTENT_TYPE = "application/json";
  private static final Logger LOG = LoggerFactory.getLogger(OperatorServer.class);

  private final Vertx vertx;
  private final OperatorBackend backend;
  private final MetricsFormatter metricsFormatter;
  private final String host;
  private final int port;
  private final HttpServer server;

  private OperatorServer(Vertx vertx, OperatorBackend backend, String host, int port) {
    this.vertx = vertx;
    this.backend = backend;
    this.metricsFormatter = MetricsFormatter.of(backend.metrics());
    this.host = host;
    this.port = port;
    this.server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false));
  }

  /**
   * Returns a server that does not listen yet.
   *
   * @param vertx the Vert.x instance that runs the server
   * @param backend the backend that provides data and executes commands
   * @param host the IP address to listen on
   * @param port the TCP port, 0 for any free port
   * @return the server
   * @throws NullPointerException if an argument is null
   */
  public static OperatorServer create(Vertx vertx, OperatorBackend backend, String host, int port) {
    Objects.requireNonNull(vertx, "vertx");
    Objects.requireNonNull(backend, "sources");
    return new OperatorServer(vertx, backend, Objects.requireNonNull(host, "host"), port);
  }

  /**
   * Limits what clients may hold; must be called before the server listens.
   *
   * @param guard applies the limits
   */
  public void guardWith(ListenerGuard guard) {
    guard.protect(server, MAX_DISCARD_BYTES);
  }

  /**
   * Starts to listen.
   *
   * @return the bound port
   */
  public Uni<Integer> start() {
    return UniFutures.from(
        () -> server.requestHandler(router()).listen(port, host).map(HttpServer::actualPort));
  }

  /**
   * Stops listening.
   *
   * @return completes when the port is released
   */
  public Uni<Void> close() {
    return UniFutures.from(server::close);
  }

  private Router router() {
    Router router = Router.router(vertx);
    router.get("/ready").handler(this::ready);
    router.get("/live").handler(context -> respond(context, new JsonObject().put("live", true)));
    router.get("/metrics").handler(this::prometheus);
    router.get("/metrics.json").handler(this::metricsJson);
    router.get("/status").handler(this::status);
    router.get("/audit").handler(this::audit);
    router.post("/drain").handler(this::drain);
    router.errorHandler(
        HTTP_NOT_FOUND,
        context -> respondError(context, HTTP_NOT_FOUND, "NO_ROUTE", "see docs/PROTOCOLS.md"));
    router.errorHandler(
        HTTP_METHOD_NOT_ALLOWED,
        context ->
            respondError(
                context,
                HTTP_METHOD_NOT_ALLOWED,
                "MALFORMED",
                "HTTP method not allowed for this path"));
    return router;
  }

  private void ready(RoutingContext context) {
    InstanceState state = backend.state();
    if (!state.isReady()) {
      context.response().setStatusCode(HTTP_SERVICE_UNAVAILABLE);
    }
    respond(
        context,
        new JsonObject()
            .put("ready", state.isReady())
            .put("reason", state.name())
            .put("message", state.description()));
  }

  private void prometheus(RoutingContext context) {
    vertx
        .executeBlocking(metricsFormatter::toPrometheusText)
        .onSuccess(text -> write(context, MetricsFormatter.PROMETHEUS_CONTENT_TYPE, text))
        .onFailure(context::fail);
  }

  private void metricsJson(RoutingContext context) {
    vertx
        .executeBlocking(metricsFormatter::toJson)
        .onSuccess(text -> write(context, JSON_CONTENT_TYPE, text))
        .onFailure(context::fail);
  }

  private void status(RoutingContext context) {
    UniFutures.toFuture(backend.status(), vertx.getOrCreateContext())
        .map(OperatorJson::toJsonLine)
        .onSuccess(text -> write(context, JSON_CONTENT_TYPE, text))
        .onFailure(context::fail);
  }

  private void audit(RoutingContext context) {
    Optional<Long> after = parseNumber(context.queryParams().get("after"));
    if (after.isEmpty()) {
      respondError(
          context,
          HTTP_BAD_REQUEST,
          "MALFORMED",
          "'after' must be a non-negative integer of at most 18 digits");
      return;
    }
    write(context, JSON_CONTENT_TYPE, OperatorJson.toJsonLine(backend.audit().read(after.get())));
  }

  private void drain(RoutingContext context) {
    LOG.info("drain requested by an operator");
    backend.drain();
    context.response().setStatusCode(HTTP_ACCEPTED);
    respond(context, new JsonObject().put("draining", true));
  }

  private static Optional<Long> parseNumber(String text) {
    if (text == null) {
      return Optional.of(0L);
    }
    return text.matches("[0-9]{1,18}") ? Optional.of(Long.parseLong(text)) : Optional.empty();
  }

  private static void respondError(
      RoutingContext context, int status, String error, String message) {
    context.response().setStatusCode(status);
    respond(
        context,
        new JsonObject()
            .put("error", error)
            .put("ran", "no")
            .put("retryAfterMillis", 0)
            .put("message", message));
  }

  private static void respond(RoutingContext context, JsonObject body) {
    write(context, JSON_CONTENT_TYPE, body.encode());
  }

  private static void write(RoutingContext context, String type, String body) {
    context.response().putHeader("Content-Type", type).end(body);
  }
}
