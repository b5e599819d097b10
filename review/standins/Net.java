import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.stream.Stream;

/** Threads and sockets on loopback addresses. */
final class Net {
  interface Service {
    void serve(Socket socket) throws Exception;
  }

  private Net() {}

  static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
  }

  static int freePort() {
    try (ServerSocket socket = listen()) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void acceptAll(ServerSocket listener, Service service) {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        daemon(
            "connection",
            () -> {
              try (socket) {
                service.serve(socket);
              } catch (Exception e) {
                // The peer closed the connection or sent what can't be read; the connection ends.
              }
            });
      } catch (IOException e) {
        return;
      }
    }
  }

  static void close(Closeable closeable) {
    try {
      closeable.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Deletes a folder without subfolders. */
  static void deleteAll(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
