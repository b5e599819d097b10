import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a plain service: runs what it is sent, with a fixed time of work. */
final class PlainServer {

  final String id;
  final String service;
  final String zone;
  private final ServerSocket server;
  private final Semaphore slots;
  private final long workMillis;
  private final Record record;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** When the store confirmed that the entry is gone, in ms of the steady clock; 0 before. */
  volatile long removedAtMillis;

  /** How long after that a request may arrive. */
  long drainMillis = 3000;

  final AtomicInteger runs = new AtomicInteger();
  final AtomicInteger lateArrivals = new AtomicInteger();
  final Set<String> runIds = ConcurrentHashMap.newKeySet();
  final Set<String> lateIds = ConcurrentHashMap.newKeySet();
  volatile boolean ended;

  PlainServer(
      String id, String service, String zone, String host, int slots, long workMillis,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = new Semaphore(slots);
    this.workMillis = workMillis;
    this.record = record;
    this.server = new ServerSocket(0, 256, InetAddress.getByName(host));
    Thread thread = new Thread(this::accept, id);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  String entry() {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,"
        + "\"sequence\":1,\"born\":1790000000000}";
  }

  static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  /** Ends the process that the server stands for: all its connections break. */
  void end() throws IOException {
    ended = true;
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    while (!ended) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread thread = new Thread(() -> serve(socket), id + "-connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Http.Message request;
      while ((request = Http.read(socket.getInputStream(), false)) != null) {
        answer(socket.getOutputStream(), request);
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    } finally {
      sockets.remove(socket);
    }
  }

  private void answer(OutputStream out, Http.Message request)
      throws IOException, InterruptedException {
    String requestId = request.header("Knapweedcleat-Request-Id");
    String named = requestId == null ? "" : "Knapweedcleat-Request-Id: " + requestId + "\r\n";
    String path = request.first().split(" ")[1];
    if (path.equals("/healthz") || path.startsWith("/-/")) {
      write(out, "200 OK", "Knapweedcleat-Instance-Id: " + id + "\r\n", "");
      return;
    }
    String expected = request.header("Knapweedcleat-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      String self = "Knapweedcleat-Instance-Id: " + id + "\r\n";
      write(out, "421 Misdirected Request", named + self, "");
      return;
    }
    long removed = removedAtMillis;
    long sinceRemoval = removed == 0 ? 0 : nowMillis() - removed;
    if (removed != 0 && sinceRemoval > drainMillis) {
      lateArrivals.incrementAndGet();
      lateIds.add(requestId);
      record.add(
          "LATE " + id + " gets request " + requestId + ", " + sinceRemoval
              + " ms after the store confirmed its removal");
    }
    if (!slots.tryAcquire()) {
      write(out, "503 Service Unavailable", named + "Knapweedcleat-Not-Executed: 1\r\n", "");
      return;
    }
    try {
      runs.incrementAndGet();
      runIds.add(requestId);
      Thread.sleep(workMillis);
      write(
          out,
          "200 OK",
          named + "Knapweedcleat-Response-Stamp: " + id + "." + requestId + "\r\n",
          "done " + requestId);
    } finally {
      slots.release();
    }
  }

  private static void write(OutputStream out, String status, String headers, String body)
      throws IOException {
    out.write(
        ("HTTP/1.1 " + status + "\r\n" + headers + "Keep-Alive: timeout=5\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
