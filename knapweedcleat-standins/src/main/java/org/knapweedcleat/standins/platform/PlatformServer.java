package org.knapweedcleat.standins.platform;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.Json;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.standins.fault.ResponseSender;

/** Configuration service with read and long-poll calls; tests publish at administrative paths. */
final class PlatformServer extends VerticleBase {

  static final String INSTANCES_NAME = "/instances";

  private static final int OK_STATUS = 200;
  private static final int UNCHANGED_STATUS = 204;
  private static final int NOT_FOUND_STATUS = 404;
  private static final int MAX_WAIT_MILLIS = 60_000;

  private final String host;
  private final int port;
  private final int instancesLagMillis;
  private final ValueHistory history;
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private boolean outage;
  private long maxVisibleRevision = Long.MAX_VALUE;
  private long readCalls;
  private long watchCalls;

  private PlatformServer(String host, int port, int instancesLagMillis, ValueHistory history) {
    this.host = host;
    this.port = port;
    this.instancesLagMillis = instancesLagMillis;
    this.history = history;
  }

  static PlatformServer of(String host, int port, int instancesLagMillis, ValueHistory history) {
    return new PlatformServer(host, port, instancesLagMillis, history);
  }

  @Override
  public Future<?> start() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false));
    router.get("/v1/values/:name").handler(context -> getValue(context, context.pathParam("name")));
    router.get("/v1/instances").handler(context -> getValue(context, INSTANCES_NAME));
    router.put("/standin/values/:name").handler(this::putValue);
    router.put("/standin/instances").handler(this::putInstances);
    router.post("/standin/outage").handler(this::setOutage);
    router.post("/standin/stale").handler(this::setStale);
    router.get("/standin/counts").handler(this::counts);
    return vertx.createHttpServer().requestHandler(router).listen(port, host);
  }

  private void getValue(RoutingContext context, String name) {
    HttpServerRequest request = context.request();
    String after = request.getParam("after");
    if (after == null) {
      readCalls++;
    } else {
      watchCalls++;
    }
    if (outage) {
      request.connection().close();
      return;
    }
    PendingWatch watch =
        new PendingWatch(context, name, after == null ? -1 : Long.parseLong(after));
    if (respondIfNewer(watch)) {
      return;
    }
    if (after == null) {
      ResponseSender.sendError(context, NOT_FOUND_STATUS, "UNKNOWN_VALUE");
      return;
    }
    awaitChange(watch, Long.parseLong(request.getParam("waitMillis", "0")));
  }

  private void awaitChange(PendingWatch watch, long waitMillis) {
    if (waitMillis <= 0) {
      respondUnchanged(watch);
      return;
    }
    pendingWatches.add(watch);
    vertx.setTimer(
        Math.min(waitMillis, MAX_WAIT_MILLIS),
        id -> {
          if (pendingWatches.remove(watch)) {
            respondUnchanged(watch);
          }
        });
  }

  private void respondUnchanged(PendingWatch watch) {
    if (!watch.context().response().closed()) {
      watch.context().response().setStatusCode(UNCHANGED_STATUS).end();
    }
  }

  private boolean respondIfNewer(PendingWatch watch) {
    return history
        .findAt(watch.name(), maxVisibleRevision)
        .filter(value -> value.revision() > watch.after())
        .map(value -> respond(watch.context(), value))
        .orElse(false);
  }

  private boolean respond(RoutingContext context, ValueHistory.Value value) {
    context.response().putHeader("X-Revision", Long.toString(value.revision()));
    if (value.name().equals(INSTANCES_NAME)) {
      ResponseSender.sendJson(context, OK_STATUS, InstanceList.decode(value));
    } else {
      ResponseSender.sendBytes(context, OK_STATUS, Buffer.buffer(value.text()));
    }
    return true;
  }

  private void notifyWatches() {
    pendingWatches.removeIf(this::respondIfNewer);
  }

  private void putValue(RoutingContext context) {
    String text = context.body().asString();
    long revision = history.put(context.pathParam("name"), text == null ? "" : text);
    notifyWatches();
    ResponseSender.sendJson(context, OK_STATUS, new Published(revision));
  }

  private void putInstances(RoutingContext context) {
    InstanceList.Entry[] entries =
        Json.decodeValue(context.body().buffer(), InstanceList.Entry[].class);
    vertx.setTimer(
        Math.max(1, instancesLagMillis),
        id -> {
          history.put(INSTANCES_NAME, InstanceList.encode(List.of(entries)));
          notifyWatches();
        });
    ResponseSender.sendDone(context);
  }

  private void setOutage(RoutingContext context) {
    outage = Boolean.parseBoolean(context.request().getParam("on"));
    if (outage) {
      pendingWatches.forEach(watch -> watch.context().request().connection().close());
      pendingWatches.clear();
    }
    ResponseSender.sendDone(context);
  }

  /** Serves the values as of the given revision, or the latest ones if none is given. */
  private void setStale(RoutingContext context) {
    String revision = context.request().getParam("revision");
    maxVisibleRevision = revision == null ? Long.MAX_VALUE : Long.parseLong(revision);
    notifyWatches();
    ResponseSender.sendDone(context);
  }

  private void counts(RoutingContext context) {
    Counts counts = new Counts(readCalls, watchCalls, readCalls + watchCalls, history.revision());
    ResponseSender.sendJson(context, OK_STATUS, counts);
  }

  private record PendingWatch(RoutingContext context, String name, long after) {}

  private record Published(long revision) {}

  private record Counts(long reads, long watches, long total, long revision) {}
}
