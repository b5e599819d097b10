package org.knapweedcleat.router.forward.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.router.forward.codec.PlatformAdapter;

/**
 * Runs an instance for a moment, alone on the loopback address, so that the build can record which
 * classes it loads.
 */
public final class ArchiveRun {

  private static final String HOST = "127.0.0.1";
  private static final long RUN_MILLIS = 700;
  private static final int STOP_MILLIS = 3_000;

  private ArchiveRun() {}

  /**
   * Runs it.
   *
   * @param arguments none
   * @throws Exception if the instance does not start
   */
  public static void main(String[] arguments) throws Exception {
    PlatformAdapter adapter = ServiceLoader.load(PlatformAdapter.class).iterator().next();
    ForwarderSettings settings = settings();
    Vertx vertx = Vertx.vertx();
    ForwarderNode node =
        ForwarderNode.start(vertx, settings, adapter)
            .toCompletionStage()
            .toCompletableFuture()
            .get(1, TimeUnit.MINUTES);
    ask(vertx, settings.callers()).onFailure(Throwable::printStackTrace);
    Thread.sleep(RUN_MILLIS);
    node.drain().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    System.exit(0);
  }

  private static Future<NetSocket> ask(Vertx vertx, InetAddressPort callers) {
    return vertx
        .createNetClient()
        .connect(callers.port(), callers.host())
        .onSuccess(socket -> socket.write(Buffer.buffer("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  }

  private static ForwarderSettings settings() throws IOException {
    FailureDomainId domain = FailureDomainId.of("a");
    InetAddressPort peers = freePort();
    return new ForwarderSettings(
        InstanceId.of("archive"),
        domain,
        freePort(),
        freePort(),
        peers,
        freePort(),
        Map.of(domain, RegionId.of("r")),
        new ForwarderSettings.Discovery(List.of(peers), freePort(), 200),
        new ForwarderSettings.Bounds(STOP_MILLIS, 0.2, 10_000, 20, 0, 0, 0.27));
  }

  private static InetAddressPort freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new InetAddressPort(HOST, socket.getLocalPort());
    }
  }
}
