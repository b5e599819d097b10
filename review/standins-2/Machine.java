import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A front machine: one process that runs the command of the deploy file. */
final class Machine {

  final String name;
  final String zone;
  final String host;
  final int frontPort;
  final int readyPort;
  final int controlPort;
  final int metricsPort;
  private final Path folder;
  private final String settings;
  private Process process;
  private int starts;

  Machine(
      String name,
      String zone,
      String host,
      int firstPort,
      Map<String, String> zones,
      List<String> seeds,
      String store,
      Path folder)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.host = host;
    this.frontPort = firstPort;
    this.readyPort = firstPort + 1;
    this.controlPort = firstPort + 2;
    this.metricsPort = firstPort + 3;
    this.folder = folder;
    Map<String, Object> listen = new LinkedHashMap<>();
    listen.put("front", host + ":" + frontPort);
    listen.put("ready", host + ":" + readyPort);
    listen.put("control", host + ":" + controlPort);
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("node", name);
    fields.put("zone", zone);
    fields.put("zones", zones);
    fields.put("ip", host);
    fields.put("listen", listen);
    fields.put("internal_ports", List.of(metricsPort, metricsPort + 15));
    fields.put("seeds", seeds);
    fields.put("platform", Map.of("address", store));
    fields.put("bounds", Deployment.bounds());
    this.settings = Deployment.render(fields);
  }

  void start() throws IOException {
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, settings);
    starts++;
    ProcessBuilder builder = new ProcessBuilder(Deployment.command(file));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.redirectErrorStream(true);
    builder.redirectOutput(log());
    process = builder.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  File log() {
    return folder.resolve(name + "-" + starts + ".log").toFile();
  }

  Process process() {
    return process;
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  boolean exitsWithin(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, readyPort), 300);
      socket.setSoTimeout(1000);
      socket
          .getOutputStream()
          .write(
              ("GET /-/readyz HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      byte[] start = socket.getInputStream().readNBytes(12);
      return new String(start, StandardCharsets.ISO_8859_1).equals("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady(long millis) throws IOException, InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (!isReady()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new IOException(name + " did not become ready");
      }
      Thread.sleep(50);
    }
  }
}
