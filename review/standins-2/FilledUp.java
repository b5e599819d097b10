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
 * One of three servers breaks some answers off in their body and answers a second time, late, on
 * the same connection. Clients must get no success with another body than the server's.
 */
final class FilledUp {

  private static final int BODY_BYTES = 800;
  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final int GARBLED_EACH = 36;
  private static final long WINDOW_MILLIS = 5000;
  private static final long GAP_MILLIS = 5000;
  private static final int WINDOWS = 5;
  private static final long WORK_MILLIS = 40;
  private static final long LATE_MILLIS = 300;
  private static final long LINE_MILLIS = 5;

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

  private static volatile int garbling = -1;
  private static final AtomicInteger[] SERVED = {
    new AtomicInteger(), new AtomicInteger(), new AtomicInteger()
  };
  private static final AtomicInteger ANSWERS = new AtomicInteger();
  private static final AtomicInteger GARBLED = new AtomicInteger();

  private FilledUp() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("review-filled-up");
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

  private static String body(String requestId) {
    StringBuilder body = new StringBuilder("answer to " + requestId + " ");
    while (body.length() < BODY_BYTES) {
      body.append((char) ('a' + body.length() % 26));
    }
    return body.toString();
  }

  private static int play(Record record, Path folder, List<Machine> machines, boolean trouble)
      throws Exception {
    Store store = new Store("127.0.0.1");
    store.put("op/config", CONFIG);
    String[] zones = {"kayseri-a", "kayseri-b", "bursa-a"};
    for (int i = 0; i < 3; i++) {
      String id = "desk-" + (i + 1);
      ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      int number = i;
      run(() -> accept(server, number, record));
      store.put(
          "servers/" + id,
          "{\"service\":\"school-desk\",\"address\":\"127.0.0.1:" + server.getLocalPort()
              + "\",\"zone\":\"" + zones[i]
              + "\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,"
              + "\"sequence\":1,\"born\":1790000000000}");
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
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger wrong = new AtomicInteger();
    ExecutorService clients = Executors.newCachedThreadPool();
    boolean[] stop = {false};
    Thread load =
        new Thread(
            () -> {
              while (!stop[0]) {
                int number = sent.incrementAndGet();
                Machine machine = machines.get(number % machines.size());
                clients.submit(() -> send(machine, number, whole, wrong, record));
                sleep(REQUEST_INTERVAL_MILLIS);
              }
            });
    load.start();
    int busiest = 0;
    for (int window = 0; window < WINDOWS; window++) {
      sleep(GAP_MILLIS);
      if (window == 0) {
        busiest = busiest();
      }
      garbling = trouble ? busiest : -1;
      record.add(trouble ? "server " + busiest + " garbles from now on" : "nothing is garbled");
      sleep(WINDOW_MILLIS);
      garbling = -1;
      record.add("no server garbles from now on");
    }
    sleep(2000);
    stop[0] = true;
    load.join();
    Thread.sleep(3500);
    clients.shutdownNow();
    record.result("requests sent: " + sent + ", answered with the server's whole body: " + whole);
    record.result(
        "answers of that server while it may garble: " + ANSWERS + ", garbled: " + GARBLED);
    record.result("successes with another body than the server's: " + wrong);
    if (whole.get() < sent.get() / 2 || (trouble && GARBLED.get() == 0)) {
      record.result("the case could not run: too few requests were served, or nothing was garbled");
      return 2;
    }
    record.result(wrong.get() > 0 ? "MIXED is broken" : "MIXED held");
    return wrong.get() > 0 ? 1 : 0;
  }

  private static void send(
      Machine machine, int number, AtomicInteger whole, AtomicInteger wrong, Record record) {
    String id = "f-" + number;
    boolean safe = number % 7 < 2;
    String head =
        safe
            ? Client.head("GET", "/times/1", id, 2500)
            : Client.head("POST", "/slots/1", id, 2500);
    Client.Outcome outcome = Client.call(machine, head, safe ? "" : "slot", 3000);
    boolean isWhole = outcome.body().equals(body(id));
    record.add(
        id + " sent to " + machine.name + ", answered " + outcome.status() + " "
            + outcome.problem() + (isWhole ? ", whole" : ", not the server's body"));
    if (outcome.status() == 200 && isWhole) {
      whole.incrementAndGet();
    } else if (outcome.status() == 200) {
      wrong.incrementAndGet();
      String end = outcome.body().substring(Math.max(0, outcome.body().length() - 40));
      record.add("MIXED " + id + ": a success whose body ends with " + end.replace("\r\n", "\\r\\n"));
    }
  }

  /** Returns the server that has got most requests; servers that are idle garble nothing. */
  private static int busiest() {
    int most = 0;
    for (int i = 1; i < SERVED.length; i++) {
      most = SERVED[i].get() > SERVED[most].get() ? i : most;
    }
    return most;
  }

  private static void accept(ServerSocket server, int number, Record record)
      throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      run(
          () -> {
            Http.Message request;
            while ((request = Http.read(socket.getInputStream(), false)) != null) {
              answer(socket.getOutputStream(), request, number, record);
            }
          });
    }
  }

  private static void answer(
      OutputStream out, Http.Message request, int number, Record record)
      throws IOException {
    String id = request.header("Knapweedcleat-Request-Id");
    if (id == null) {
      write(out, STATUS_LINE + "Content-Length: 0\r\n\r\n");
      return;
    }
    SERVED[number].incrementAndGet();
    sleep(WORK_MILLIS);
    String[] headers = {
      "Content-Type: text/plain\r\n",
      "Keep-Alive: timeout=5\r\n",
      "Knapweedcleat-Request-Id: " + id + "\r\n",
      "Knapweedcleat-Response-Stamp: s." + id + "\r\n",
      "Content-Length: " + BODY_BYTES + "\r\n",
      "\r\n"
    };
    String body = body(id);
    boolean garbled =
        garbling == number && ANSWERS.incrementAndGet() % GARBLED_EACH == 0;
    if (!garbled) {
      write(out, STATUS_LINE + String.join("", headers) + body);
      return;
    }
    GARBLED.incrementAndGet();
    int sentBytes = BODY_BYTES - STATUS_LINE.length();
    record.add("the answer to " + id + " breaks off after " + sentBytes + " bytes of its body");
    write(out, STATUS_LINE + String.join("", headers) + body.substring(0, sentBytes));
    sleep(LATE_MILLIS);
    record.add("a second answer to " + id + " follows, line by line");
    write(out, STATUS_LINE);
    for (String line : headers) {
      sleep(LINE_MILLIS);
      write(out, line);
    }
    write(out, body);
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
