import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** Case: the limit of a request head is raised while clients keep their connections open. */
final class HeaderLimit {
  private static final int CLIENTS = 20;
  private static final int REQUESTS = 6;
  private static final int OLD_LIMIT = 16_384;
  private static final int NEW_LIMIT = 32_768;
  private static final int HEADER_BYTES = 20_000;
  private static final long CONFIG_APPLY_MILLIS = 3_000;

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review");
    Record record = new Record();
    Store store = new Store();
    List<Front> fronts = List.of(new Front("front-a-1", "a", temporary), new Front("front-b-1", "b", temporary));
    int result = 2;
    try {
      store.put("op/config", config(7, trouble ? OLD_LIMIT : NEW_LIMIT));
      for (int number = 1; number <= 3; number++) {
        Engine engine = new Engine("i-" + number, 6, 20, record);
        store.put("servers/" + engine.id, engine.entry("desk", "a", 6));
      }
      for (Front front : fronts) {
        front.start(store.port(), fronts, Map.of("a", "one", "b", "two"));
      }
      for (Front front : fronts) {
        if (!front.awaitReady(20_000)) {
          throw new IllegalStateException(front.name + " did not become ready");
        }
      }
      result = play(fronts, store, trouble, record);
    } catch (Exception e) {
      record.end("could not run: " + e);
    } finally {
      fronts.forEach(Front::end);
      record.write(folder);
      Net.deleteAll(temporary);
    }
    System.out.println(record.result());
    Runtime.getRuntime().halt(result);
  }

  private static String config(int version, int maxHeaderBytes) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/credit/\","
        + "\"kind\":\"unsafe\",\"service\":\"desk\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
        + "\"priority\":2,\"max_attempts\":1,\"public\":false}],"
        + "\"services\":[{\"name\":\"desk\",\"health_check\":\"/healthz\",\"max_connections\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":" + maxHeaderBytes
        + ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_stream\","
        + "\"uncached_tokens\":200,\"rate_per_s\":360000,\"burst\":360000}]}";
  }

  private static int play(List<Front> fronts, Store store, boolean trouble, Record record) throws Exception {
    ExecutorService clients = Executors.newCachedThreadPool();
    CountDownLatch opened = new CountDownLatch(CLIENTS);
    CountDownLatch inForce = new CountDownLatch(1);
    List<Future<int[]>> all = new ArrayList<>();
    for (int number = 0; number < CLIENTS; number++) {
      String name = String.format("%08x", number + 1);
      Front front = fronts.get(number % fronts.size());
      all.add(clients.submit(() -> client(name, front, opened, inForce, record)));
    }
    opened.await(10, TimeUnit.SECONDS);
    if (trouble) {
      store.put("op/config", config(8, NEW_LIMIT));
      record.add("version 8 confirmed: max_header_bytes " + OLD_LIMIT + " to " + NEW_LIMIT);
    }
    Net.sleep(CONFIG_APPLY_MILLIS + 1_000);
    inForce.countDown();
    int sent = 0;
    int denied = 0;
    int served = 0;
    for (Future<int[]> one : all) {
      int[] counts = one.get();
      sent += counts[0];
      denied += counts[1];
      served += counts[2];
    }
    double allowed = 5 + sent / 500.0;
    boolean broken = denied > allowed;
    record.end(String.format(Locale.ROOT, "%s: %d requests, %d served, %d ended with a 4xx of the system's own though proper; %.2f are allowed",
        broken ? "BROKEN" : "HELD", sent, served, denied, allowed));
    return broken ? 1 : 0;
  }

  /** Keeps one connection open for all requests; opens another only when it was closed. */
  private static int[] client(
      String name, Front front, CountDownLatch opened, CountDownLatch inForce, Record record) throws Exception {
    int[] counts = new int[3];
    Socket socket = null;
    for (int number = 0; number < REQUESTS; number++) {
      String id = name + String.format("%08x", number);
      if (number == 1) {
        opened.countDown();
        inForce.await();
      }
      if (socket == null) {
        socket = new Socket("127.0.0.1", front.callerPort);
        socket.setSoTimeout(4_000);
      }
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", "h.example");
      headers.put("Knapweedcleat-Request-Id", id);
      headers.put("Knapweedcleat-Deadline-Ms", "4000");
      headers.put("Authorization", "Token key-1");
      if (number > 0) {
        headers.put("Client-Context", "c".repeat(HEADER_BYTES));
      }
      Http.write(socket.getOutputStream(), "POST /credit/x HTTP/1.1", headers, new byte[600]);
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
      record.add("client of " + id + " at " + front.name + " got " + (answer == null ? "a close" : answer.first()));
      counts[0]++;
      boolean stamped = answer != null && !answer.header("Knapweedcleat-Response-Stamp").isEmpty();
      counts[1] += answer != null && !stamped && answer.status() >= 400 && answer.status() < 500 ? 1 : 0;
      counts[2] += stamped && answer.status() == 200 ? 1 : 0;
      if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
        socket.close();
        socket = null;
      }
    }
    if (socket != null) {
      socket.close();
    }
    return counts;
  }
}
