import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A model engine that reports its state and changes its stage by orders. It runs no requests. */
final class ModelEngine {

  /** An accepted or refused order, as it arrived. */
  record Order(String engine, long atMillis, String holder, long fence, int status) {}

  private static final long REPORT_AGE_MILLIS = 400;
  private static final long SWAP_MILLIS = 2000;
  private static final Pattern HOLDER = Pattern.compile("\"holder\"\\s*:\\s*\"([^\"]*)\"");
  private static final Pattern FENCE = Pattern.compile("\"fence\"\\s*:\\s*(-?\\d+)");
  private static final Pattern STAGE = Pattern.compile("\"stage\"\\s*:\\s*\"(\\w+)\"");

  final String id;
  private final String zone;
  private final Store store;
  private final Record record;
  private final ServerSocket server;
  private final List<Order> orders;
  private String stage;
  private long busySince = -1;
  private int sequence;

  ModelEngine(
      String id, String zone, String stage, String host, Store store, List<Order> orders,
      Record record)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.stage = stage;
    this.store = store;
    this.orders = orders;
    this.record = record;
    this.server = new ServerSocket(0, 256, InetAddress.getByName(host));
    Thread thread = new Thread(this::accept, id);
    thread.setDaemon(true);
    thread.start();
  }

  void publish(String state) {
    store.put("servers/" + id, entry(state));
  }

  private synchronized String entry(String state) {
    return "{\"service\":\"horn-tutor\",\"address\":\""
        + server.getInetAddress().getHostAddress()
        + ":"
        + server.getLocalPort()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"1\",\"slots\":64,\"state\":\""
        + state
        + "\",\"stage\":\""
        + stage
        + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1790000000000}";
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
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
        String target = request.first().split(" ")[1];
        String expected = request.header("Knapweedcleat-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
          write(socket.getOutputStream(), "421 Misdirected Request", "");
        } else if (target.equals("/-/report")) {
          write(socket.getOutputStream(), "200 OK", report());
        } else if (target.equals("/-/order")) {
          int status = order(request.text());
          write(socket.getOutputStream(), status + " X", "{}");
        } else {
          write(socket.getOutputStream(), "200 OK", "");
        }
      }
    } catch (IOException e) {
      // The caller has left.
    }
  }

  /** Reports the state of some hundred ms ago. */
  private synchronized String report() {
    boolean wasBusy =
        busySince >= 0 && PlainServer.nowMillis() - busySince >= REPORT_AGE_MILLIS;
    return "{\"stage\":\"" + stage + "\",\"models\":[],\"busy\":" + wasBusy + ",\"sequence\":"
        + sequence
        + ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":34035,\"kv_handles\":0}";
  }

  private synchronized int order(String body) {
    String holder = group(HOLDER, body);
    long fence = Long.parseLong(group(FENCE, body));
    String wanted = group(STAGE, body.replaceFirst("\"op\"\\s*:\\s*\"stage\"", ""));
    int status = busySince >= 0 ? 409 : wanted.equals(stage) ? 200 : 202;
    synchronized (orders) {
      orders.add(new Order(id, PlainServer.nowMillis(), holder, fence, status));
    }
    record.add(
        "ORDER at " + id + " by " + holder + ", fence " + fence + ", stage " + wanted + ": "
            + status);
    if (status == 202) {
      sequence++;
      busySince = PlainServer.nowMillis();
      Thread thread = new Thread(() -> change(wanted));
      thread.setDaemon(true);
      thread.start();
    }
    return status;
  }

  private void change(String wanted) {
    try {
      Thread.sleep(SWAP_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      stage = wanted;
      busySince = -1;
    }
    publish("ready");
  }

  private static String group(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static void write(OutputStream out, String status, String body) throws IOException {
    out.write(
        ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
