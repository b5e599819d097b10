import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a connection of its own. */
final class Client {

  /** What a client saw; the status is 0 if no complete answer came. */
  record Outcome(int status, String stamp, String body, String problem) {}

  private Client() {}

  static Outcome call(Machine machine, String head, String body, int timeoutMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(machine.host, machine.frontPort), 1000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      socket
          .getOutputStream()
          .write(
              (head
                      + "Content-Length: "
                      + body.length()
                      + "\r\nConnection: close\r\n\r\n"
                      + body)
                  .getBytes(StandardCharsets.ISO_8859_1));
      Http.Message answer = Http.read(socket.getInputStream(), true);
      if (answer == null) {
        return new Outcome(0, null, "", "closed without an answer");
      }
      return new Outcome(
          answer.status(), answer.header("Knapweedcleat-Response-Stamp"), answer.text(), "");
    } catch (IOException e) {
      return new Outcome(0, null, "", String.valueOf(e.getMessage()));
    }
  }

  static String head(String method, String path, String id, int deadlineMillis) {
    return method + " " + path + " HTTP/1.1\r\nHost: review.example\r\nKnapweedcleat-Request-Id: "
        + id + "\r\nKnapweedcleat-Deadline-Ms: " + deadlineMillis
        + "\r\nAuthorization: Token review-key-1\r\n";
  }
}
