package org.knapweedcleat.standins.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.standins.process.ClientLoadProcessTest.Listener;

/** An instance without platform or endpoints, with a small heap, for tests of its listeners. */
final class LoadedInstance {

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

  private final Map<Listener, Integer> ports = new EnumMap<>(Listener.class);
  private JavaProcess process;

  private LoadedInstance() {
    for (Listener listener : Listener.values()) {
      ports.put(listener, FreePorts.find());
    }
  }

  static LoadedInstance startOwnInterface(Path folder, String heap, String extraSettings) {
    LoadedInstance instance = new LoadedInstance();
    String settings =
        OWN_SETTINGS.formatted(
            instance.port(Listener.CALLERS),
            instance.port(Listener.OPERATORS),
            instance.port(Listener.PEERS),
            FreePorts.find());
    instance.start(
        folder,
        heap,
        settings + extraSettings,
        List.of("-jar", "../knapweedcleat-router/target/knapweedcleatd.jar"));
    return instance;
  }

  static LoadedInstance startForwarder(Path folder, String heap, String extraSettings) {
    LoadedInstance instance = new LoadedInstance();
    String settings =
        FORWARDER_SETTINGS.formatted(
            instance.port(Listener.CALLERS),
            instance.port(Listener.READINESS),
            instance.port(Listener.PEERS),
            instance.port(Listener.METRICS),
            FreePorts.find());
    String classPath =
        String.join(
            ":",
            "../platform/target/knapweedcleat-platform.jar",
            "../knapweedcleat-router/target/knapweedcleatd.jar",
            "../knapweedcleat-router/target/lib/*");
    instance.start(
        folder,
        heap,
        settings + extraSettings,
        List.of(
            "-Dlogback.configurationFile=logback-forward.xml",
            "-cp",
            classPath,
            "org.knapweedcleat.router.RouterMain",
            "--adapter",
            "users"));
    return instance;
  }

  int port(Listener listener) {
    return ports.get(listener);
  }

  JavaProcess process() {
    return process;
  }

  void kill() {
    process.kill();
  }

  /** Tells whether each listener for HTTP that the instance has answers one request. */
  boolean servesOrdinaryRequests(boolean forwarder) {
    process.checkAlive();
    if (forwarder) {
      return responds(Listener.READINESS, "/") && responds(Listener.METRICS, "/metrics");
    }
    return responds(Listener.CALLERS, "/notes") && responds(Listener.OPERATORS, "/live");
  }

  private boolean responds(Listener listener, String path) {
    return HttpTestClient.get(port(listener), path).status() != 0;
  }

  private void start(Path folder, String heap, String settings, List<String> program) {
    Path file = folder.resolve("a1.ini");
    TextFile.write(file, settings);
    List<String> arguments = new ArrayList<>(List.of(heap));
    arguments.addAll(program);
    arguments.addAll(List.of("--settings", file.toString()));
    process = JavaProcess.start(folder, "a1", arguments);
  }
}
