import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A stand-in of the platform's metadata store: one item per key, long polls, one revision counter. */
final class Store implements Closeable {
  private record Change(long revision, String key, byte[] value) {}

  private final ServerSocket listener = Net.listen();
  private final Map<String, Change> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private long revision = 1;
  volatile boolean silent;

  Store() throws IOException {
    Net.daemon("store", () -> Net.acceptAll(listener, this::serve));
  }

  int port() {
    return listener.getLocalPort();
  }

  synchronized void put(String key, String json) {
    change(new Change(++revision, key, json.getBytes(StandardCharsets.UTF_8)));
  }

  synchronized void delete(String key) {
    change(new Change(++revision, key, null));
  }

  private void change(Change change) {
    if (change.value() == null) {
      items.remove(change.key());
    } else {
      items.put(change.key(), change);
    }
    history.add(change);
    notifyAll();
  }

  private void serve(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    while (true) {
      Http.Message request = Http.read(in, true);
      if (request == null) {
        return;
      }
      Map<String, String> query = Http.query(request.target());
      String body = request.target().startsWith("/-/kv-range") ? range(query) : watch(query);
      while (silent) {
        Net.sleep(50);
      }
      Http.write(out, "HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"), body.getBytes());
    }
  }

  private synchronized String range(Map<String, String> query) {
    List<String> found = new ArrayList<>();
    items.forEach(
        (key, change) -> {
          if (key.startsWith(query.get("prefix")) && key.compareTo(query.getOrDefault("after", "")) > 0) {
            found.add(json(change));
          }
        });
    return "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"at\":" + revision + "}";
  }

  private synchronized String watch(Map<String, String> query) {
    long after = Long.parseLong(query.get("after"));
    long end = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
    while (true) {
      List<String> found =
          history.stream()
              .filter(one -> one.revision() > after && one.key().startsWith(query.get("prefix")))
              .map(Store::json)
              .toList();
      long left = end - System.currentTimeMillis();
      if (!found.isEmpty() || left <= 0) {
        return "{\"events\":[" + String.join(",", found) + "],\"at\":" + revision + "}";
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static String json(Change change) {
    String start = "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision();
    return change.value() == null
        ? start + ",\"deleted\":true}"
        : start
            + ",\"created\":" + change.revision()
            + ",\"lease\":0,\"value\":\"" + Base64.getEncoder().encodeToString(change.value()) + "\"}";
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
