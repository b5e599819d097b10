import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The paths between the machines, each a proxy of its own. Machine 3 listens on 127.7.10.13;
 * machine 1 sees it at 127.7.21.13. The proxies replace the addresses in what machines tell each
 * other, so that each machine knows the others only by its own paths; nothing else is changed.
 */
final class PeerPaths {

  private static final Pattern ADDRESS = Pattern.compile("127\\.7\\.(?:10|2\\d)\\.1(\\d)");

  private final int port;
  private final List<Path> open = new ArrayList<>();
  final AtomicInteger opened = new AtomicInteger();

  private static final class Path {
    private final int from;
    private final int to;
    private volatile boolean silent;

    Path(int from, int to) {
      this.from = from;
      this.to = to;
    }
  }

  PeerPaths(int machines, int port) throws IOException {
    this.port = port;
    for (int viewer = 1; viewer <= machines; viewer++) {
      for (int target = 1; target <= machines; target++) {
        if (viewer != target) {
          listen(viewer, target);
        }
      }
    }
  }

  /** Returns where a machine listens. */
  static String host(int machine) {
    return "127.7.10.1" + machine;
  }

  /** Returns the address under which a machine sees another one. */
  static String seenAt(int viewer, int target) {
    return viewer == target ? host(target) : "127.7.2" + viewer + ".1" + target;
  }

  /** Lets the connections that are open now go silent, without a reset; new ones work. */
  synchronized int silence(BiPredicate<Integer, Integer> between) {
    int count = 0;
    for (Path path : open) {
      if (between.test(path.from, path.to)) {
        path.silent = true;
        count++;
      }
    }
    return count;
  }

  private void listen(int viewer, int target) throws IOException {
    ServerSocket server =
        new ServerSocket(port, 64, InetAddress.getByName(seenAt(viewer, target)));
    run(
        () -> {
          while (true) {
            Socket near = server.accept();
            run(() -> connect(near, viewer, target));
          }
        });
  }

  private void connect(Socket near, int viewer, int target) throws IOException {
    Socket far = new Socket();
    try {
      far.connect(new InetSocketAddress(host(target), port), 1000);
    } catch (IOException e) {
      near.setSoLinger(true, 0);
      near.close();
      return;
    }
    near.setTcpNoDelay(true);
    far.setTcpNoDelay(true);
    Path path = new Path(viewer, target);
    opened.incrementAndGet();
    synchronized (this) {
      open.add(path);
    }
    run(() -> pass(path, near, far, target));
    run(() -> pass(path, far, near, viewer));
  }

  /** Passes frames on; the addresses in them become those that the receiver uses. */
  private void pass(Path path, Socket from, Socket to, int receiver) throws IOException {
    try {
      DataInputStream in = new DataInputStream(from.getInputStream());
      DataOutputStream out = new DataOutputStream(to.getOutputStream());
      while (true) {
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        if (path.silent) {
          awaitForever();
        }
        byte[] seen = translate(body, receiver);
        byte[] frame = new byte[4 + seen.length];
        java.nio.ByteBuffer.wrap(frame).putInt(seen.length).put(seen);
        out.write(frame);
        out.flush();
      }
    } catch (EOFException e) {
      end(path, from, to);
    } catch (IOException e) {
      end(path, from, to);
    }
  }

  /** Ends both sides; on a silent connection the other side doesn't hear of it. */
  private void end(Path path, Socket from, Socket to) throws IOException {
    if (path.silent) {
      awaitForever();
    }
    from.close();
    to.close();
    synchronized (this) {
      open.remove(path);
    }
  }

  private static byte[] translate(byte[] body, int receiver) {
    String text = new String(body, StandardCharsets.ISO_8859_1);
    Matcher address = ADDRESS.matcher(text);
    StringBuilder seen = new StringBuilder();
    while (address.find()) {
      address.appendReplacement(seen, seenAt(receiver, Integer.parseInt(address.group(1))));
    }
    address.appendTail(seen);
    return seen.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void awaitForever() {
    try {
      Thread.sleep(Long.MAX_VALUE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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
                // The path has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
