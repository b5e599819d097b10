package org.knapweedcleat.router.forward.node;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.router.RouterMain;
import org.knapweedcleat.router.forward.codec.PlatformAdapter;

/**
 * Starts two instances on the loopback address through {@link RouterMain} for a few seconds, so
 * that the build can record the classes loaded by startup, gossip, reads of the store and calls for
 * a class data sharing archive.
 */
public final class ArchiveRun {

  private static final String HOST = "127.0.0.1";
  private static final long RUN_MILLIS = 4_000;

  /** Interval between the requests; the first ones arrive before the instance is ready. */
  private static final long REQUEST_INTERVAL_MILLIS = 1_000;

  private static final int PORTS_PER_INSTANCE = 4;

  /** File name prefix of the project's jars. */
  private static final String JAR_PREFIX = "knapweedcleat";

  /** Packages with the classes that forwarding a call needs. */
  private static final List<String> FORWARDING_PACKAGES =
      List.of(
          "org/knapweedcleat/router/forward/",
          "org/knapweedcleat/platform/",
          "org/knapweedcleat/core/balance/",
          "org/knapweedcleat/core/directory/",
          "org/knapweedcleat/core/forward/",
          "org/knapweedcleat/core/room/");

  private ArchiveRun() {}

  /**
   * Runs the instances and exits.
   *
   * @param store the address of a stand-in of the platform's store
   * @param call a complete HTTP request of a caller, which the instances can forward
   * @throws Exception if an instance cannot be started
   */
  public static void run(InetAddressPort store, String call) throws Exception {
    PlatformAdapter adapter = ServiceLoader.load(PlatformAdapter.class).iterator().next();
    List<InetAddressPort> first = freePorts();
    List<InetAddressPort> second = freePorts();
    for (List<InetAddressPort> addresses : List.of(first, second)) {
      Path settings =
          Files.writeString(
              Files.createTempFile("archive", ".ini"), settings(addresses, first.get(2), store));
      RouterMain.main(
          new String[] {"--settings", settings.toString(), "--adapter", adapter.name()});
    }
    loadForwardingClasses();
    Vertx vertx = Vertx.vertx();
    vertx.setPeriodic(
        REQUEST_INTERVAL_MILLIS,
        timer -> {
          sendRequest(vertx, first.get(0), call);
          sendRequest(vertx, first.get(1), get(adapter.readinessPath()));
          sendRequest(vertx, first.get(3), get("/metrics"));
        });
    Thread.sleep(RUN_MILLIS);
    vertx.close().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    System.exit(0);
  }

  private static String settings(
      List<InetAddressPort> addresses, InetAddressPort seed, InetAddressPort store) {
    InetAddressPort peers = addresses.get(2);
    return String.join(
        "\n",
        "[instance]",
        "id = archive-" + peers.port(),
        "domain = a",
        "callerAddress = " + addresses.get(0),
        "readinessAddress = " + addresses.get(1),
        "peerAddress = " + peers,
        "metricsAddress = " + addresses.get(3),
        "[discovery]",
        "seeds = " + seed,
        "storeAddress = " + store,
        "[bounds]",
        "stopSeconds = 3",
        "repeatWindowSeconds = 10",
        "repeatRatio = 0.2",
        "repeatSlack = 20",
        "quotaOverage = 0",
        "quotaSlackUnits = 0",
        "[domain a]",
        "region = r",
        "");
  }

  private static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  private static void sendRequest(Vertx vertx, InetAddressPort address, String request) {
    vertx
        .createNetClient()
        .connect(address.port(), address.host())
        .onSuccess(socket -> socket.write(Buffer.buffer(request)))
        .onFailure(Throwable::printStackTrace);
  }

  /** Loads the classes that only other forwarded calls use; this run forwards one kind. */
  private static void loadForwardingClasses() throws IOException, ClassNotFoundException {
    for (String element : System.getProperty("java.class.path").split(":")) {
      if (!Path.of(element).getFileName().toString().startsWith(JAR_PREFIX)) {
        continue;
      }
      for (String className : forwardingClasses(element)) {
        Class.forName(className, false, ArchiveRun.class.getClassLoader());
      }
    }
  }

  private static List<String> forwardingClasses(String jar) throws IOException {
    try (JarFile file = new JarFile(jar)) {
      return file.stream()
          .map(entry -> entry.getName())
          .filter(name -> name.endsWith(".class") && !name.endsWith("package-info.class"))
          .filter(name -> FORWARDING_PACKAGES.stream().anyMatch(name::startsWith))
          .map(name -> name.substring(0, name.length() - ".class".length()).replace('/', '.'))
          .toList();
    }
  }

  private static List<InetAddressPort> freePorts() throws IOException {
    List<InetAddressPort> ports = new ArrayList<>();
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < PORTS_PER_INSTANCE; i++) {
      ServerSocket socket = new ServerSocket(0);
      sockets.add(socket);
      ports.add(new InetAddressPort(HOST, socket.getLocalPort()));
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }
}
