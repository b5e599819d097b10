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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Some engines spoil a byte of some answers to prefill calls, so that the handle in it holds a
 * blank. Callers must still get an answer, at their route's timeout at the latest.
 */
final class SpoiledHandle {

  private static final int ENGINES = 13;
  private static final int PREFILL_ENGINES = 4;
  private static final int SPOILED_EACH = 46;
  private static final int WINDOWS = 6;
  private static final long WINDOW_MILLIS = 6500;
  private static final long GAP_MILLIS = 4000;
  private static final long READ_MILLIS = 96;
  private static final int EVENTS = 6;
  private static final long EVENT_MILLIS = 34;
  private static final long ROUTE_TIMEOUT_MILLIS = 7000;
  private static final long GRACE_MILLIS = 500;
  private static final int CLIENT_LIMIT_MILLIS = 14_000;

  /** The sheet's 2.96, 5.27 and 4.53 streams a second. */
  private static final long REQUEST_INTERVAL_MILLIS = 78;

  private static final String ROUTE =
      """
      {"name": "%s", "host": "review.example", "prefix": "/%s/", "kind": "stream",
       "service": "horn-tutor", "timeout_ms": %d, "target_latency_ms": 900,
       "target_gap_ms": 300, "priority": 1, "max_attempts": %d, "resumable": %b, "sticky": true}
      """;

  private static final String CONFIG =
      """
      {"version": 3,
       "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                  "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
       "routes": [%s, %s],
       "services": [{"name": "horn-tutor", "max_connections": 370,
                     "engine": {"slots": 64, "kv_capacity_tokens": 34035, "kv_ttl_s": 0.5,
                                "stride": 13}}],
       "tenants": [{"name": "t1", "api_keys": ["review-key-1"]}]}
      """;

  private static volatile boolean spoiling;
  private static final AtomicInteger[] ANSWERS = new AtomicInteger[ENGINES];
  private static final AtomicLong HANDLES = new AtomicLong(0x3fa09c41b7d5L);
  private static final Set<String> HELD = ConcurrentHashMap.newKeySet();
  private static final Set<String> SPOILED = ConcurrentHashMap.newKeySet();

  private SpoiledHandle() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("review-spoiled-handle");
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
    store.put(
        "op/config",
        CONFIG.formatted(
            ROUTE.formatted("tuning-note", "tuning", ROUTE_TIMEOUT_MILLIS, 2, true),
            ROUTE.formatted("embouchure-note", "lip", ROUTE_TIMEOUT_MILLIS, 1, false)));
    String[] zones = {"kayseri-a", "kayseri-b", "bursa-a"};
    for (int i = 0; i < ENGINES; i++) {
      ANSWERS[i] = new AtomicInteger();
      String id = "tutor-" + (i + 1);
      ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      int number = i;
      run(() -> accept(server, number, id, record));
      store.put(
          "servers/" + id,
          "{\"service\":\"horn-tutor\",\"address\":\"127.0.0.1:" + server.getLocalPort()
              + "\",\"zone\":\"" + zones[i % zones.length]
              + "\",\"version\":\"1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
              + "\"stage\":\"" + (i < PREFILL_ENGINES ? "prefill" : "decode")
              + "\",\"sequence\":1,\"born\":1790000000000}");
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
    Thread.sleep(3000);
    List<long[]> outcomes = new ArrayList<>();
    AtomicInteger sent = new AtomicInteger();
    ExecutorService clients = Executors.newCachedThreadPool();
    boolean[] stop = {false};
    Thread load =
        new Thread(
            () -> {
              while (!stop[0]) {
                int number = sent.incrementAndGet();
                Machine machine = machines.get(number % machines.size());
                clients.submit(() -> send(machine, number, outcomes, record));
                sleep(REQUEST_INTERVAL_MILLIS);
              }
            });
    load.start();
    for (int window = 0; window < WINDOWS; window++) {
      sleep(GAP_MILLIS);
      spoiling = trouble;
      record.add(trouble ? "some engines spoil answers from now on" : "nothing is spoiled");
      sleep(WINDOW_MILLIS);
      spoiling = false;
      record.add("no engine spoils answers from now on");
    }
    sleep(ROUTE_TIMEOUT_MILLIS + GRACE_MILLIS);
    stop[0] = true;
    load.join();
    Thread.sleep(CLIENT_LIMIT_MILLIS - ROUTE_TIMEOUT_MILLIS + 1000);
    clients.shutdownNow();
    int served = 0;
    int late = 0;
    int never = 0;
    synchronized (outcomes) {
      for (long[] outcome : outcomes) {
        served += outcome[0] == 200 ? 1 : 0;
        late += outcome[1] >= ROUTE_TIMEOUT_MILLIS - 5 ? 1 : 0;
        never += outcome[1] > ROUTE_TIMEOUT_MILLIS + GRACE_MILLIS ? 1 : 0;
      }
    }
    record.result("streams sent: " + sent + ", served whole: " + served);
    record.result("answers to prefill calls that were spoiled: " + SPOILED.size());
    record.result("streams without an answer at the route's timeout: " + late);
    record.result("of these without an answer half a second later: " + never);
    if (served < sent.get() / 2 || (trouble && SPOILED.isEmpty())) {
      record.result("the case could not run: too few streams were served, or nothing was spoiled");
      return 2;
    }
    boolean broken = never * 2 > late;
    record.result(broken ? "CONFIG is broken" : "CONFIG held");
    return broken ? 1 : 0;
  }

  private static void send(Machine machine, int number, List<long[]> outcomes, Record record) {
    String id = "h-" + number;
    String path = number % 2 == 0 ? "/tuning/1" : "/lip/1";
    String head =
        Client.head("POST", path, id, CLIENT_LIMIT_MILLIS)
            + "Knapweedcleat-Model: m\r\nKnapweedcleat-Token-Usage: 3200,69\r\n"
            + "Knapweedcleat-Prompt-Prefix: 5c1e07a2:200," + Integer.toHexString(number) + ":3000\r\n";
    long start = System.nanoTime();
    Client.Outcome outcome = Client.call(machine, head, "note", CLIENT_LIMIT_MILLIS);
    long millis = (System.nanoTime() - start) / 1_000_000;
    record.add(
        id + " sent to " + machine.name + ", answered " + outcome.status() + " "
            + outcome.problem() + " after " + millis + " ms"
            + (SPOILED.contains(id) ? ", its handle was spoiled" : ""));
    synchronized (outcomes) {
      outcomes.add(new long[] {outcome.status(), millis});
    }
  }

  private static void accept(ServerSocket server, int number, String id, Record record)
      throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      run(
          () -> {
            Http.Message request;
            while ((request = Http.read(socket.getInputStream(), false)) != null) {
              answer(socket.getOutputStream(), request, number, id, record);
            }
          });
    }
  }

  private static void answer(
      OutputStream out, Http.Message request, int number, String engine, Record record)
      throws IOException {
    String id = request.header("Knapweedcleat-Request-Id");
    String path = request.first().split(" ")[1];
    if (path.startsWith("/-/kv-handle/")) {
      HELD.remove(path.substring("/-/kv-handle/".length()));
      write(out, "200 OK", "", "");
    } else if (id == null) {
      String stage = number < PREFILL_ENGINES ? "prefill" : "decode";
      write(
          out,
          "200 OK",
          "",
          "{\"stage\":\"" + stage + "\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,"
              + "\"running\":0,\"kv_used\":0,\"kv_total\":34035,\"kv_handles\":0}");
    } else if (!engine.equals(request.header("Knapweedcleat-Expect-Instance"))) {
      write(out, "421 Misdirected Request", named(id), "");
    } else if ("prefill".equals(request.header("Knapweedcleat-Stage"))) {
      prefill(out, number, id, record);
    } else {
      decode(out, request, id);
    }
  }

  private static void prefill(OutputStream out, int number, String id, Record record)
      throws IOException {
    sleep(READ_MILLIS);
    String handle = Long.toHexString(HANDLES.addAndGet(0x9e3779b1L));
    HELD.add(handle);
    String shown = handle;
    if (spoiling && ANSWERS[number].incrementAndGet() % SPOILED_EACH == 0) {
      shown = handle.substring(0, 5) + " " + handle.substring(6);
      SPOILED.add(id);
      record.add("the answer to the prefill call of " + id + " is spoiled: handle \"" + shown + "\"");
    }
    write(
        out,
        "200 OK",
        named(id) + "Content-Type: application/json\r\nKeep-Alive: timeout=5\r\n",
        "{\"kv_handle\":\"" + shown + "\",\"tokens\":3200,\"version\":1}");
  }

  private static void decode(OutputStream out, Http.Message request, String id)
      throws IOException {
    String source = request.header("Knapweedcleat-Kv-Source");
    boolean lost = source != null && !HELD.remove(source.substring(source.indexOf('/') + 1));
    if (lost) {
      write(out, "503 Service Unavailable", named(id) + "Knapweedcleat-Not-Executed: 1\r\n", "");
      return;
    }
    if (source == null) {
      sleep(2 * READ_MILLIS);
    }
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    head.append(named(id)).append("Knapweedcleat-Response-Stamp: s.").append(id);
    head.append("\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\n");
    write(out, head.append("Transfer-Encoding: chunked\r\n\r\n").toString());
    for (int event = 1; event <= EVENTS; event++) {
      sleep(EVENT_MILLIS);
      String text = "id: " + event + "\ndata: piece " + event + "\n\n";
      write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
    write(out, "0\r\n\r\n");
  }

  private static String named(String id) {
    return "Knapweedcleat-Request-Id: " + id + "\r\n";
  }

  private static void write(OutputStream out, String status, String headers, String body)
      throws IOException {
    write(
        out,
        "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
            + body);
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
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
