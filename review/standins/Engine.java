import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.Semaphore;

/** A sound engine of a plain service: it runs each request once and echoes its id and a stamp. */
final class Engine {
  private final ServerSocket listener = Net.listen();
  private final Semaphore slots;
  private final long workMillis;
  private final Record record;
  final String id;

  Engine(String id, int slotCount, long workMillis, Record record) throws IOException {
    this.id = id;
    this.slots = new Semaphore(slotCount, true);
    this.workMillis = workMillis;
    this.record = record;
    Net.daemon(id, () -> Net.acceptAll(listener, this::serve));
  }

  String entry(String service, String zone, int slotCount) {
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slotCount
        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
  }

  private void serve(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    while (true) {
      Http.Message request = Http.read(in, true);
      if (request == null) {
        return;
      }
      String requestId = request.header("Knapweedcleat-Request-Id");
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Knapweedcleat-Request-Id", requestId);
      if (!request.header("Knapweedcleat-Expect-Instance").equals(id)) {
        headers.put("Knapweedcleat-Instance-Id", id);
        Http.write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
        continue;
      }
      slots.acquireUninterruptibly();
      try {
        record.add(id + " runs " + requestId + " (" + request.body().length + " bytes)");
        Net.sleep(workMillis);
      } finally {
        slots.release();
      }
      headers.put("Knapweedcleat-Response-Stamp", id + "." + requestId);
      Http.write(socket.getOutputStream(), "HTTP/1.1 200 OK", headers, ("done " + requestId).getBytes());
    }
  }
}
