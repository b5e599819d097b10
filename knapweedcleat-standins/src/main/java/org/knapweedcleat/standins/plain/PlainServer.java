package org.knapweedcleat.standins.plain;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.knapweedcleat.standins.fault.ApiKeyLeakDetector;
import org.knapweedcleat.standins.fault.FaultInjector;
import org.knapweedcleat.standins.fault.ResponseSender;

/** HTTP server of a plain endpoint stub, which echoes each call. */
final class PlainServer extends VerticleBase {

  private static final int OK_STATUS = 200;

  private final String id;
  private final String host;
  private final int port;
  private final ApiKeyLeakDetector keyLeaks = ApiKeyLeakDetector.create();
  private final CallCounters counts = CallCounters.create();

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
    router.route().handler(keyLeaks::inspect);
    FaultInjector faults = FaultInjector.of(vertx, router);
    router
        .get("/standin/counts")
        .handler(
            context ->
                ResponseSender.sendJson(
                    context, OK_STATUS, counts.snapshot(keyLeaks.leakedCalls())));
    router.route().handler(faults.handlerFor("call")).handler(this::echo);
    return vertx.createHttpServer().requestHandler(router).listen(port, host);
  }

  private void echo(RoutingContext context) {
    String request = context.request().getHeader("X-Request-Id");
    String idempotencyKey = context.request().getHeader("Idempotency-Key");
    String body = context.body().asString();
    String text = body == null ? "" : body;
    counts.recordCall(request, idempotencyKey, text);
    Echo echo =
        new Echo(
            id,
            context.request().method().name(),
            context.request().path(),
            context.request().query(),
            request,
            idempotencyKey,
            text);
    ResponseSender.sendJson(context, OK_STATUS, echo);
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
