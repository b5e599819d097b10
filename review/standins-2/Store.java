import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as the protocol page describes it, for reading only. */
final class Store {

  private record Item(long revision, long created, String value) {}

  private record Event(long revision, String key, String json) {}

  private final ServerSocket server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 10;

  /** How long a watch waits before its connection is cut; 0 if none is cut. */
  volatile long cutAfterMillis;

  volatile long cuts;

  Store(String host) throws IOException {
    server = new ServerSocket(0, 512, InetAddress.getByName(host));
    Thread thread = new Thread(this::accept, "store");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Writes a value; the return is the confirmation. */
  synchronized void put(String key, String value) {
    Item before = items.get(key);
    revision++;
    Item item = new Item(revision, before == null ? revision : before.created(), value);
    items.put(key, item);
    history.add(new Event(revision, key, json(key, item)));
    notifyAll();
  }

  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      String json = "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
      history.add(new Event(revision, key, json));
      notifyAll();
    }
  }

  private static String json(String key, Item item) {
    String value =
        Base64.getEncoder().encodeToString(item.value().getBytes(StandardCharsets.UTF_8));
    return "{\"key\":\""
        + key
        + "\",\"value\":\""
        + value
        + "\",\"revision\":"
        + item.revision()
        + ",\"created\":"
        + item.created()
        + ",\"lease\":0}";
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
        Thread thread = new Thread(() -> serve(socket), "store-call");
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
        String body = answer(request.first().split(" ")[1]);
        if (body == null) {
          cuts++;
          return;
        }
        OutputStream out = socket.getOutputStream();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(
            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
      }
    } catch (IOException e) {
      // The caller has left.
    }
  }

  /** Returns the body of the answer, or null if the connection is to be cut. */
  private String answer(String target) throws IOException {
    Map<String, String> query = new HashMap<>();
    for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    String prefix = query.get("prefix");
    return target.startsWith("/-/kv-watch")
        ? watch(
            prefix, Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")))
        : list(prefix, query.getOrDefault("after", ""));
  }

  private synchronized String list(String prefix, String after) {
    List<String> found = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (key.startsWith(prefix) && key.compareTo(after) > 0) {
            found.add(json(key, item));
          }
        });
    return "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"at\":" + revision
        + "}";
  }

  private synchronized String watch(String prefix, long after, long waitMillis)
      throws IOException {
    long start = System.nanoTime();
    while (true) {
      List<String> events = new ArrayList<>();
      for (Event event : history) {
        if (event.revision() > after && event.key().startsWith(prefix)) {
          events.add(event.json());
        }
      }
      long waited = (System.nanoTime() - start) / 1_000_000;
      if (!events.isEmpty() || waited >= waitMillis) {
        return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
      }
      long cut = cutAfterMillis;
      if (cut > 0 && waited >= cut) {
        return null;
      }
      try {
        wait(Math.max(1, Math.min(20, waitMillis - waited)));
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }
}
