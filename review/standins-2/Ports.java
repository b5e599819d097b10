import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports that are free on all loopback addresses of a script. */
final class Ports {

  private static final int FIRST = 20000;
  private static final int BLOCK = 20;
  private static final int BLOCKS = 600;

  private Ports() {}

  /** Returns the first of four free ports in a row. */
  static int free(String... hosts) throws IOException {
    long seed = ProcessHandle.current().pid();
    for (int attempt = 0; attempt < BLOCKS; attempt++) {
      int first = FIRST + (int) ((seed + attempt) % BLOCKS) * BLOCK;
      if (isFree(first, hosts)) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean isFree(int first, String... hosts) {
    for (String host : hosts) {
      for (int port = first; port < first + 4; port++) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
          probe.getLocalPort();
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }
}
