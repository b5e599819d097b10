package org.knapweedcleat.standins.plain;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.knapweedcleat.standins.fault.Answers;
import org.knapweedcleat.standins.fault.FaultGate;
import org.knapweedcleat.standins.fault.KeyWatch;

/** A plain service that echoes what it gets. */
final class PlainServer extends VerticleBase {

  private static final int OK_STATUS = 200;

  private final String id;
  private final String host;
  private final int port;
  private final KeyWatch keys = KeyWatch.create();
  private final CallCounts counts = CallCounts.create();

  private PlainServer(String id, String host, int port) {
    this.id = id;
    this.host = host;
    this.port = port;
  }

  static PlainServer of(String id, String host, int port) {
    return new PlainServer(id, host, port);
  }

  @Override
  public Future<?> start() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false));
    router.route().handler(keys::look);
    FaultGate faults = FaultGate.of(vertx, router);
    router
        .get("/standin/counts")
        .handler(context -> Answers.json(context, OK_STATUS, counts.report(keys.seen())));
    router.route().handler(faults.at("call")).handler(this::echo);
    return vertx.createHttpServer().requestHandler(router).listen(port, host);
  }

  private void echo(RoutingContext context) {
    String request = context.request().getHeader("X-Request-Id");
    String idempotencyKey = context.request().getHeader("Idempotency-Key");
    String body = context.body().asString();
    String text = body == null ? "" : body;
    counts.add(request, idempotencyKey, text);
    Echo echo =
        new Echo(
            id,
            context.request().method().name(),
            context.request().path(),
            context.request().query(),
            request,
            idempotencyKey,
            text);
    Answers.json(context, OK_STATUS, echo);
  }

  private record Echo(
      String endpoint,
      String method,
      String path,
      String query,
      String request,
      String idempotencyKey,
      String body) {}
}
