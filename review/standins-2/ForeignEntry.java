import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts an entry with missing fields beside those of the engines. It names no engine
 * to use; at its address is some HTTP server, which knows none of the paths.
 */
final class ForeignEntry {

  private static final long PLAY_MILLIS = 40_000;

  /** The sheet's 15.3 and 6.14 requests a second. */
  private static final long REQUEST_INTERVAL_MILLIS = 47;

  private static final String CONFIG =
      """
      {"version": 3,
       "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                  "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
       "routes": [
         {"name": "slot-booking", "host": "review.example", "prefix": "/slots/",
          "kind": "unsafe", "service": "school-desk", "timeout_ms": 2500,
          "target_latency_ms": 486, "priority": 2, "max_attempts": 2},
         {"name": "timetable-check", "host": "review.example", "prefix": "/times/",
          "kind": "safe", "service": "school-desk", "timeout_ms": 2500,
          "target_latency_ms": 486, "priority": 2, "max_attempts": 2}],
       "services": [{"name": "school-desk", "max_connections": 110}],
       "tenants": [{"name": "t1", "api_keys": ["review-key-1"]}]}
      """;

  private static final AtomicInteger FOREIGN = new AtomicInteger();

  private ForeignEntry() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("review-foreign-entry");
    List<Machine> machines = new ArrayList<>();
    int status = 2;
    try {
      status = play(record, folder, machines, trouble);
    } catch (Exception e) {
      record.result("the case could not run: " + e);
    } finally {
      machines.forEach(Machine::kill);
      Folders.delete(folder);
      record.close();
    }
    System.exit(status);
  }

  private static int play(Record record, Path folder, List<Machine> machines, boolean trouble)
      throws Exception {
    Store store = new Store("127.0.0.1");
    store.put("op/config", CONFIG);
    String[] zones = {"kayseri-a", "kayseri-b", "bursa-a"};
    for (int i = 0; i < 3; i++) {
      PlainServer server =
          new PlainServer("desk-" + (i + 1), "school-desk", zones[i], "127.0.0.1", 6, 86, record);
      store.put(
          "servers/" + server.id,
          "{\"service\":\"school-desk\",\"address\":\"" + server.address() + "\",\"zone\":\""
              + zones[i] + "\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\","
              + "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1790000000000}");
    }
    Map<String, String> regions = new LinkedHashMap<>();
    regions.put("kayseri-a", "anatolia-central");
    regions.put("kayseri-b", "anatolia-central");
    regions.put("bursa-a", "marmara");
    int port = Ports.free("127.0.0.11", "127.0.0.12", "127.0.0.13");
    List<String> seeds = List.of("127.0.0.11:" + (port + 2), "127.0.0.12:" + (port + 2));
    for (int i = 1; i <= 3; i++) {
      Machine machine =
          new Machine(
              "front-" + i, zones[i - 1], "127.0.0.1" + i, port, regions, seeds, store.address(),
              folder);
      machines.add(machine);
      machine.start();
    }
    for (Machine machine : machines) {
      machine.awaitReady(20_000);
    }
    Thread.sleep(6000);
    ServerSocket other = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    run(() -> accept(other, record));
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    AtomicInteger denied = new AtomicInteger();
    ExecutorService clients = Executors.newCachedThreadPool();
    boolean[] stop = {false};
    Thread load =
        new Thread(
            () -> {
              while (!stop[0]) {
                int number = sent.incrementAndGet();
                Machine machine = machines.get(number % machines.size());
                clients.submit(() -> send(machine, number, served, denied, record));
                sleep(REQUEST_INTERVAL_MILLIS);
              }
            });
    load.start();
    sleep(5000);
    if (trouble) {
      // No version, cold_remaining_ms and sequence.
      store.put(
          "servers/inventory-7",
          "{\"service\":\"school-desk\",\"address\":\"127.0.0.1:" + other.getLocalPort()
              + "\",\"zone\":\"kayseri-a\",\"slots\":6,\"state\":\"ready\"}");
      record.add("another writer puts servers/inventory-7, without version and other fields");
    }
    sleep(PLAY_MILLIS);
    stop[0] = true;
    load.join();
    Thread.sleep(3500);
    clients.shutdownNow();
    double allowed = 5 + sent.get() / 500.0;
    record.result("requests sent: " + sent + ", answered with success: " + served);
    record.result("requests that reached the server of the other entry: " + FOREIGN);
    record.result(
        "ended with a 3xx or 4xx that no engine gave: " + denied + ", allowed: " + allowed);
    if (served.get() < 20) {
      record.result("the case could not run: too few requests were served");
      return 2;
    }
    record.result(denied.get() > allowed ? "DENIED is broken" : "DENIED held");
    return denied.get() > allowed ? 1 : 0;
  }

  private static void send(
      Machine machine, int number, AtomicInteger served, AtomicInteger denied, Record record) {
    String id = "e-" + number;
    boolean safe = number % 7 < 2;
    String head =
        safe
            ? Client.head("GET", "/times/1", id, 2500)
            : Client.head("POST", "/slots/1", id, 2500);
    Client.Outcome outcome = Client.call(machine, head, safe ? "" : "slot", 3000);
    record.add(
        id + (safe ? " (safe)" : " (unsafe)") + " sent to " + machine.name + ", answered "
            + outcome.status() + (outcome.stamp() == null ? " without a stamp " : " ")
            + outcome.problem());
    int status = outcome.status();
    if (status == 200 && outcome.stamp() != null) {
      served.incrementAndGet();
    }
    boolean promised = status == 408 || status == 421 || status == 429;
    if (status >= 300 && status < 500 && !promised && outcome.stamp() == null) {
      denied.incrementAndGet();
    }
  }

  /** An HTTP server that is no engine: it knows none of the paths. */
  private static void accept(ServerSocket server, Record record) throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      run(
          () -> {
            Http.Message request;
            while ((request = Http.read(socket.getInputStream(), false)) != null) {
              FOREIGN.incrementAndGet();
              record.add(
                  "the server of the other entry gets " + request.first() + ", id "
                      + request.header("Knapweedcleat-Request-Id"));
              OutputStream out = socket.getOutputStream();
              out.write(
                  "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                      .getBytes(StandardCharsets.ISO_8859_1));
              out.flush();
            }
          });
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void run(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The connection has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
