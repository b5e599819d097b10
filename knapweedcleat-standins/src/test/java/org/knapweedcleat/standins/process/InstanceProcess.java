package org.knapweedcleat.standins.process;

import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/** One instance and where it listens. */
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
      [platform]
      host = 127.0.0.1
      port = %d
      document = fleet
      [peers]
      leaseMillis = 1000
      listLagMillis = 1000
      """;

  private final String id;
  private final int callerPort = FreePorts.next();
  private final int operatorPort = FreePorts.next();
  private final int peerPort = FreePorts.next();
  private Proc proc;

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

  SocketAddress address() {
    return SocketAddress.inetSocketAddress(callerPort, "127.0.0.1");
  }

  Proc proc() {
    return proc;
  }

  void start(Path folder, int platformPort) {
    Path settings = folder.resolve(id + ".ini");
    TextFile.write(settings, settings(platformPort));
    proc = Proc.java(folder, id, JAR, List.of("--settings", settings.toString()));
  }

  boolean isReady() {
    proc.checkAlive();
    return Http.get(operatorPort, "/ready").status() == 200;
  }

  JsonObject status() {
    return Http.get(operatorPort, "/status").json();
  }

  long revision() {
    return status().getLong("revision");
  }

  String describe() {
    return id + " " + Http.get(operatorPort, "/status").text() + "\n" + proc.log();
  }

  private String settings(int platformPort) {
    return SETTINGS.formatted(id, id.charAt(0), callerPort, operatorPort, peerPort, platformPort);
  }
}
