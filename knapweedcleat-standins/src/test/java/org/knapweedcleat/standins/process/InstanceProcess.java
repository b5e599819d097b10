package org.knapweedcleat.standins.process;

import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/** The process of an instance, with its ports. */
final class InstanceProcess {

  private static final String JAR = "../knapweedcleat-router/target/knapweedcleatd.jar";

  private static final String SETTINGS =
      """
      [instance]
      id = %s
      domain = %s
      host = 127.0.0.1
      callerPort = %d
      operatorPort = %d
      peerPort = %d
      listedPeerPort = %d
      [platform]
      host = 127.0.0.1
      port = %d
      document = fleet
      [peers]
      leaseMillis = 1000
      listLagMillis = 1000
      """;

  private final String id;
  private final int callerPort = FreePorts.find();
  private final int operatorPort = FreePorts.find();
  private final int peerPort = FreePorts.find();
  private int listedPeerPort;
  private JavaProcess process;

  private InstanceProcess(String id) {
    this.id = id;
  }

  static InstanceProcess of(String id) {
    return new InstanceProcess(id);
  }

  String id() {
    return id;
  }

  int callerPort() {
    return callerPort;
  }

  int peerPort() {
    return peerPort;
  }

  /** Sets the peer port under which the platform lists the instance. */
  void setListedPeerPort(int port) {
    listedPeerPort = port;
  }

  SocketAddress address() {
    return SocketAddress.inetSocketAddress(callerPort, "127.0.0.1");
  }

  JavaProcess process() {
    return process;
  }

  void start(Path folder, int platformPort) {
    Path settings = folder.resolve(id + ".ini");
    TextFile.write(settings, settings(platformPort));
    process = JavaProcess.startJar(folder, id, JAR, List.of("--settings", settings.toString()));
  }

  boolean isReady() {
    process.checkAlive();
    return HttpTestClient.get(operatorPort, "/ready").status() == 200;
  }

  JsonObject status() {
    return HttpTestClient.get(operatorPort, "/status").json();
  }

  long revision() {
    return status().getLong("revision");
  }

  String describe() {
    return id + " " + HttpTestClient.get(operatorPort, "/status").text() + "\n" + process.readLog();
  }

  private String settings(int platformPort) {
    return SETTINGS.formatted(
        id, id.charAt(0), callerPort, operatorPort, peerPort, listedPeerPort, platformPort);
  }
}
