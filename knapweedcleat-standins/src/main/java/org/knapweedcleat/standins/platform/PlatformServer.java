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
import org.knapweedcleat.standins.fault.Answers;

/** A configuration service that callers can only read and watch; tests publish at admin paths. */
final class PlatformServer extends VerticleBase {

  static final String INSTANCES = "/instances";

  private static final int OK_STATUS = 200;
  private static final int NOTHING_NEWER_STATUS = 204;
  private static final int UNKNOWN_STATUS = 404;
  private static final int MAX_WAIT_MILLIS = 60_000;

  private final String host;
  private final int port;
  private final int instancesLagMillis;
  private final PublishedValues published;
  private final List<Watch> watches = new ArrayList<>();
  private boolean outage;
  private long staleAt = Long.MAX_VALUE;
  private long reads;
  private long watched;

  private PlatformServer(String host, int port, int lagMillis, PublishedValues published) {
    this.host = host;
    this.port = port;
    this.instancesLagMillis = lagMillis;
    this.published = published;
  }

  static PlatformServer of(String host, int port, int instancesLagMillis, PublishedValues values) {
    return new PlatformServer(host, port, instancesLagMillis, values);
  }

  @Override
  public Future<?> start() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false));
    router.get("/v1/values/:name").handler(context -> get(context, context.pathParam("name")));
    router.get("/v1/instances").handler(context -> get(context, INSTANCES));
    router.put("/standin/values/:name").handler(this::putValue);
    router.put("/standin/instances").handler(this::putInstances);
    router.post("/standin/outage").handler(this::setOutage);
    router.post("/standin/stale").handler(this::setStale);
    router.get("/standin/counts").handler(this::counts);
    return vertx.createHttpServer().requestHandler(router).listen(port, host);
  }

  private void get(RoutingContext context, String name) {
    HttpServerRequest request = context.request();
    String after = request.getParam("after");
    if (after == null) {
      reads++;
    } else {
      watched++;
    }
    if (outage) {
      request.connection().close();
      return;
    }
    Watch watch = new Watch(context, name, after == null ? -1 : Long.parseLong(after));
    if (answerIfNewer(watch)) {
      return;
    }
    if (after == null) {
      Answers.error(context, UNKNOWN_STATUS, "UNKNOWN_VALUE");
      return;
    }
    await(watch, Long.parseLong(request.getParam("waitMillis", "0")));
  }

  private void await(Watch watch, long waitMillis) {
    if (waitMillis <= 0) {
      endWatch(watch);
      return;
    }
    watches.add(watch);
    vertx.setTimer(
        Math.min(waitMillis, MAX_WAIT_MILLIS),
        id -> {
          if (watches.remove(watch)) {
            endWatch(watch);
          }
        });
  }

  private void endWatch(Watch watch) {
    if (!watch.context().response().closed()) {
      watch.context().response().setStatusCode(NOTHING_NEWER_STATUS).end();
    }
  }

  private boolean answerIfNewer(Watch watch) {
    return published
        .find(watch.name(), staleAt)
        .filter(value -> value.revision() > watch.after())
        .map(value -> answer(watch.context(), value))
        .orElse(false);
  }

  private boolean answer(RoutingContext context, PublishedValues.Value value) {
    context.response().putHeader("X-Revision", Long.toString(value.revision()));
    if (value.name().equals(INSTANCES)) {
      Answers.json(context, OK_STATUS, InstanceList.decode(value));
    } else {
      Answers.send(context, OK_STATUS, Buffer.buffer(value.text()));
    }
    return true;
  }

  private void wakeWatches() {
    watches.removeIf(this::answerIfNewer);
  }

  private void putValue(RoutingContext context) {
    String text = context.body().asString();
    long revision = published.put(context.pathParam("name"), text == null ? "" : text);
    wakeWatches();
    Answers.json(context, OK_STATUS, new Published(revision));
  }

  private void putInstances(RoutingContext context) {
    InstanceList.Entry[] entries =
        Json.decodeValue(context.body().buffer(), InstanceList.Entry[].class);
    vertx.setTimer(
        Math.max(1, instancesLagMillis),
        id -> {
          published.put(INSTANCES, InstanceList.encode(List.of(entries)));
          wakeWatches();
        });
    Answers.ok(context);
  }

  private void setOutage(RoutingContext context) {
    outage = Boolean.parseBoolean(context.request().getParam("on"));
    if (outage) {
      watches.forEach(watch -> watch.context().request().connection().close());
      watches.clear();
    }
    Answers.ok(context);
  }

  /** Shows the values as they were at a revision; without one, as they are. */
  private void setStale(RoutingContext context) {
    String revision = context.request().getParam("revision");
    staleAt = revision == null ? Long.MAX_VALUE : Long.parseLong(revision);
    wakeWatches();
    Answers.ok(context);
  }

  private void counts(RoutingContext context) {
    Counts counts = new Counts(reads, watched, reads + watched, published.revision());
    Answers.json(context, OK_STATUS, counts);
  }

  private record Watch(RoutingContext context, String name, long after) {}

  private record Published(long revision) {}

  private record Counts(long reads, long watches, long total, long revision) {}
}
