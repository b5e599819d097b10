package org.knapweedcleat.standins.weights;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.knapweedcleat.standins.fault.ResponseSender;

/** Weight store stub that rejects calls above a fixed number per second. */
final class WeightsServer extends VerticleBase {

  private static final int OK_STATUS = 200;
  private static final int OVER_RATE_STATUS = 429;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final String host;
  private final int port;
  private final int callsPerSecond;
  private long windowSecond;
  private int callsInWindow;
  private long served;
  private long rejected;

  private WeightsServer(String host, int port, int callsPerSecond) {
    this.host = host;
    this.port = port;
    this.callsPerSecond = callsPerSecond;
  }

  static WeightsServer of(String host, int port, int callsPerSecond) {
    return new WeightsServer(host, port, callsPerSecond);
  }

  @Override
  public Future<?> start() {
    Router router = Router.router(vertx);
    router.get("/v1/weights/:model/:version").handler(this::getWeights);
    router
        .get("/standin/counts")
        .handler(
            context -> ResponseSender.sendJson(context, OK_STATUS, new Counts(served, rejected)));
    return vertx.createHttpServer().requestHandler(router).listen(port, host);
  }

  private void getWeights(RoutingContext context) {
    if (!tryAcquire()) {
      rejected++;
      context.response().putHeader("Retry-After", "1");
      ResponseSender.sendError(context, OVER_RATE_STATUS, "OVER_RATE");
      return;
    }
    served++;
    String name = context.pathParam("model") + "/" + context.pathParam("version");
    ResponseSender.sendJson(context, OK_STATUS, new Weights(digest(name)));
  }

  private boolean tryAcquire() {
    long currentSecond = System.currentTimeMillis() / MILLIS_PER_SECOND;
    if (currentSecond != windowSecond) {
      windowSecond = currentSecond;
      callsInWindow = 0;
    }
    callsInWindow++;
    return callsInWindow <= callsPerSecond;
  }

  private static String digest(String name) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(name.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private record Weights(String digest) {}

  private record Counts(long served, long refused) {}
}
