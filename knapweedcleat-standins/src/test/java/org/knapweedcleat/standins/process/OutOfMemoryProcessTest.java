package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that stays up without responding after its heap is exhausted. The
 * command lines have no JVM option for that, since the processes may be started without it.
 */
@Tag("process")
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class OutOfMemoryProcessTest {

  private static final int EXIT_STATUS = 3;
  private static final int CONNECTIONS = 60;
  private static final String HEAP = "-Xmx40m";

  private static final String OWN_SETTINGS =
      """
      [instance]
      id = a1
      domain = a
      host = 127.0.0.1
      callerPort = %d
      operatorPort = %d
      peerPort = %d
      [platform]
      host = 127.0.0.1
      port = %d
      """;

  private static final String FORWARDER_SETTINGS =
      """
      [instance]
      id = a1
      domain = a
      callerAddress = 127.0.0.1:%d
      readinessAddress = 127.0.0.1:%d
      peerAddress = 127.0.0.1:%d
      metricsAddress = 127.0.0.1:%d
      [discovery]
      storeAddress = 127.0.0.1:%d
      [domain a]
      region = r
      """;

  private final int callerPort = FreePorts.find();
  private final int peerPort = FreePorts.find();
  private JavaProcess process;

  @AfterEach
  void killProcess() {
    if (process != null) {
      process.kill();
    }
  }

  @Test
  void ownInterfaceExitsWhenBodiesExhaustItsHeap(@TempDir Path folder) {
    TextFile.write(
        folder.resolve("a1.ini"),
        OWN_SETTINGS.formatted(callerPort, FreePorts.find(), peerPort, FreePorts.find()));
    start(folder, "-jar", "../knapweedcleat-router/target/knapweedcleatd.jar");

    assertExitsOnLoad(callerPort, Payloads.partialBody(1_000_000, 1_048_576));
  }

  @Test
  void forwarderExitsWhenPeerFramesExhaustItsHeap(@TempDir Path folder) {
    TextFile.write(
        folder.resolve("a1.ini"),
        FORWARDER_SETTINGS.formatted(
            callerPort, FreePorts.find(), peerPort, FreePorts.find(), FreePorts.find()));
    startForwarder(folder);

    assertExitsOnLoad(peerPort, Payloads.partialFrame(1_000_000));
  }

  private void startForwarder(Path folder) {
    String classPath =
        String.join(
            ":",
            "../platform/target/knapweedcleat-platform.jar",
            "../knapweedcleat-router/target/knapweedcleatd.jar",
            "../knapweedcleat-router/target/lib/*");
    start(
        folder,
        "-Dlogback.configurationFile=logback-forward.xml",
        "-cp",
        classPath,
        "org.knapweedcleat.router.RouterMain",
        "--adapter",
        "users");
  }

  private void start(Path folder, String... program) {
    List<String> arguments = new ArrayList<>(List.of(HEAP));
    arguments.addAll(List.of(program));
    arguments.addAll(List.of("--settings", folder.resolve("a1.ini").toString()));
    process = JavaProcess.start(folder, "a1", arguments);
  }

  private void assertExitsOnLoad(int port, ClientLoad.Payload payload) {
    Await.until("the listener", () -> accepts(port));
    List<ClientLoad> loads = new ArrayList<>();
    try {
      loads.add(ClientLoad.start(port, CONNECTIONS, payload));
      assertThat(process.awaitExit(), is(EXIT_STATUS));
    } finally {
      loads.forEach(ClientLoad::close);
    }
    assertThat(process.readLog(), containsString("OutOfMemoryError"));
  }

  private boolean accepts(int port) {
    process.checkAlive();
    try (ClientLoad probe = ClientLoad.start(port, 1, ClientLoad.Payload.of("", "", 0))) {
      Await.until("a connection", () -> probe.finished() == 1);
      return Stream.of(probe).noneMatch(load -> load.closed() == 1);
    }
  }
}
