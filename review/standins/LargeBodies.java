import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * Case: a burst of clients whose bodies are as large as the configuration allows. The rates are those
 * of the sheet of tarros-vuelta: 8.89 requests a second, 2.1 times as many for 4 seconds. Small
 * requests at the usual rate follow, after the last client of the large ones has left; the rule is
 * judged by the small ones only.
 */
final class LargeBodies {
  private static final double PER_SECOND = 8.89;
  private static final double BURST = 2.1;
  private static final long BURST_FROM_MILLIS = 6_000;
  private static final long BURST_MILLIS = 4_000;
  private static final long LARGE_UNTIL_MILLIS = 15_000;
  private static final long SMALL_FROM_MILLIS = 24_000;
  private static final long TRAFFIC_MILLIS = 36_000;
  private static final int SMALL_BYTES = 600;
  private static final int BODY_BYTES = 4_000_000;
  private static final int MAX_BODY_BYTES = 4_194_304;
  private static final long UPLOAD_MILLIS = 1_800;
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final long DEADLINE_MILLIS = 4_000;

  /** What a client saw of its request. */
  private record Seen(boolean small, long sentMillis, long answeredMillis, String answer) {}

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review");
    Record record = new Record();
    Store store = new Store();
    Front front = new Front("front-a-1", "a", temporary);
    int result = 2;
    try {
      store.put("op/config", config());
      for (int number = 1; number <= 3; number++) {
        Engine engine = new Engine("i-" + number, 6, 43, record);
        store.put("servers/" + engine.id, engine.entry("desk", "a", 6));
      }
      front.start(store.port(), List.of(front), Map.of("a", "one", "b", "two"));
      if (!front.awaitReady(20_000)) {
        throw new IllegalStateException("the instance did not become ready");
      }
      result = play(front, trouble, record);
    } catch (Exception e) {
      record.end("could not run: " + e);
    } finally {
      front.end();
      record.write(folder);
      Net.deleteAll(temporary);
    }
    System.out.println(record.result());
    Runtime.getRuntime().halt(result);
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/credit/\","
        + "\"kind\":\"unsafe\",\"service\":\"desk\",\"timeout_ms\":" + TIMEOUT_MILLIS
        + ",\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":1,\"public\":false}],"
        + "\"services\":[{\"name\":\"desk\",\"health_check\":\"/healthz\",\"max_connections\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
        + MAX_BODY_BYTES + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_stream\","
        + "\"uncached_tokens\":200,\"rate_per_s\":36000,\"burst\":36000}]}";
  }

  private static int play(Front front, boolean trouble, Record record) throws Exception {
    List<Future<Seen>> all = new ArrayList<>();
    ExecutorService clients = Executors.newCachedThreadPool();
    Net.daemon("watch", () -> watch(front, record));
    long begin = System.currentTimeMillis();
    int number = 0;
    for (double due = 0; due < TRAFFIC_MILLIS; ) {
      Net.sleep(begin + (long) due - System.currentTimeMillis());
      String id = String.format("%016x", ++number);
      boolean small = due >= SMALL_FROM_MILLIS;
      if (small || due < LARGE_UNTIL_MILLIS) {
        all.add(clients.submit(() -> request(front, id, small, record)));
      }
      boolean inBurst = trouble && due >= BURST_FROM_MILLIS && due < BURST_FROM_MILLIS + BURST_MILLIS;
      due += 1_000 / (PER_SECOND * (inBurst ? BURST : 1));
    }
    int[] served = new int[2];
    int[] sent = new int[2];
    int unanswered = 0;
    int late = 0;
    for (Future<Seen> one : all) {
      Seen seen = one.get();
      int kind = seen.small() ? 1 : 0;
      sent[kind]++;
      served[kind] += seen.answer().contains(" 200 ") ? 1 : 0;
      if (seen.small() && seen.answeredMillis() - seen.sentMillis() > TIMEOUT_MILLIS) {
        unanswered++;
        late += seen.answeredMillis() - seen.sentMillis() > TIMEOUT_MILLIS + 500 ? 1 : 0;
      }
    }
    record.add("process " + (front.isAlive() ? "alive" : "ended by itself with " + front.exitValue())
        + ", answers its readiness check at the end: " + front.isReady());
    boolean broken = late >= 8 && late * 2 > unanswered;
    record.end(String.format("%s: %d of %d large requests served; of %d small ones afterwards %d served, %d unanswered at the route's timeout, %d of them without an answer 0.5 s later",
        broken ? "BROKEN" : "HELD", served[0], sent[0], sent[1], served[1], unanswered, late));
    return broken ? 1 : 0;
  }

  private static void watch(Front front, Record record) {
    while (true) {
      Net.sleep(1_000);
      record.add("ready " + front.isReady() + ", resident MB " + front.residentKilobytes() / 1024);
    }
  }

  private static Seen request(Front front, String id, boolean small, Record record) {
    long start = System.currentTimeMillis();
    long sent = start;
    String answer;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", front.callerPort), 1_000);
      Net.daemon("deadline", () -> {
        Net.sleep(start + DEADLINE_MILLIS - System.currentTimeMillis());
        Net.close(socket);
      });
      OutputStream out = socket.getOutputStream();
      int bytes = small ? SMALL_BYTES : BODY_BYTES;
      out.write(("POST /credit/x HTTP/1.1\r\nHost: h.example\r\nKnapweedcleat-Request-Id: " + id
          + "\r\nKnapweedcleat-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nAuthorization: Token key-1\r\nContent-Length: "
          + bytes + "\r\n\r\n").getBytes());
      byte[] part = new byte[bytes / 100];
      for (int number = 0; number < 100; number++) {
        if (!small) {
          Net.sleep(start + UPLOAD_MILLIS * number / 100 - System.currentTimeMillis());
        }
        out.write(part);
      }
      sent = System.currentTimeMillis();
      record.add("client sent " + id + " (" + bytes + " bytes)");
      Http.Message message = Http.read(new BufferedInputStream(socket.getInputStream()), false);
      answer = message == null ? "closed" : message.first();
    } catch (IOException e) {
      answer = "none: " + e.getMessage();
    }
    long answered = answer.startsWith("none: Socket closed") ? Long.MAX_VALUE : System.currentTimeMillis();
    record.add("client of " + id + " got " + answer + " after " + (System.currentTimeMillis() - start) + " ms");
    return new Seen(small, sent, answered, answer);
  }
}
