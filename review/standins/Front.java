import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.TimeUnit;
import java.util.regex.*;

/** One instance of the system, started by the deploy file's command with settings by its template. */
final class Front {
  final String name;
  final int callerPort = Net.freePort();
  final int readyPort = Net.freePort();
  final int peerPort = Net.freePort();
  final int metricsPort = Net.freePort();
  private final String zone;
  private final Path folder;
  private Process process;
  private int starts;

  Front(String name, String zone, Path folder) {
    this.name = name;
    this.zone = zone;
    this.folder = folder;
  }

  /** Writes the settings from the template of the deploy file and starts the process. */
  void start(int storePort, List<Front> seeds, Map<String, String> zones) throws IOException {
    Map<String, String> fields = new HashMap<>();
    fields.put("node", name);
    fields.put("zone", zone);
    fields.put("ip", "127.0.0.1");
    fields.put("listen.front", "127.0.0.1:" + callerPort);
    fields.put("listen.ready", "127.0.0.1:" + readyPort);
    fields.put("listen.control", "127.0.0.1:" + peerPort);
    fields.put("internal_ports.0", "" + metricsPort);
    fields.put("seeds", String.join(",", seeds.stream().map(one -> "127.0.0.1:" + one.peerPort).toList()));
    fields.put("platform.address", "127.0.0.1:" + storePort);
    fields.put("bounds.grace_s", "8");
    fields.put("bounds.budget_window_s", "10");
    fields.put("bounds.retry_budget_ratio", "0.2");
    fields.put("bounds.budget_slack", "56");
    fields.put("bounds.quota_overage", "0.25");
    fields.put("bounds.quota_slack", "140000");
    fields.put("bounds.config_apply_ms", "3000");
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    String settings = Files.readString(Path.of(word(deploy, "template")));
    Matcher section = Pattern.compile("\\{\\{#zones}}(.*?)\\{\\{/zones}}", Pattern.DOTALL).matcher(settings);
    settings =
        section.replaceAll(
            found -> {
              StringBuilder all = new StringBuilder();
              zones.forEach(
                  (one, region) ->
                      all.append(found.group(1).replace("{{@}}", one).replace("{{.}}", region)));
              return Matcher.quoteReplacement(all.toString());
            });
    for (Map.Entry<String, String> field : fields.entrySet()) {
      settings = settings.replace("{{" + field.getKey() + "}}", field.getValue());
    }
    // Sections of settings that a site may lack.
    settings = settings.replaceAll("(?s)\\{\\{#(bounds\\.\\w+)}}.*?\\{\\{/\\1}}\n?", "");
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, settings);
    List<String> command =
        new ArrayList<>(
            List.of(word(deploy, "run").replace("/etc/knapweedcleat/boot.json", file.toString()).split(" ")));
    starts++;
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + "-" + starts + ".log").toFile())
            .start();
  }

  private static String word(String deploy, String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(deploy);
    if (!line.find()) {
      throw new IllegalStateException("the deploy file has no " + key);
    }
    return line.group(1);
  }

  /** Asks for readiness as the platform does. */
  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 1_000);
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write("GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes());
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(long millis) {
    long end = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < end) {
      if (isReady()) {
        return true;
      }
      Net.sleep(100);
    }
    return false;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitValue() {
    return process.exitValue();
  }

  void signal(String signal) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  long residentKilobytes() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("\\D", ""));
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }

  String log() throws IOException {
    return Files.readString(folder.resolve(name + "-" + starts + ".log"));
  }

  void end() {
    if (process != null && process.isAlive()) {
      process.destroyForcibly();
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
