package org.knapweedcleat.router;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the program in a separate process. */
class RouterMainTest {

  private static final String HOST = "127.57.3.1";
  private static final int TIMEOUT_MINUTES = 1;

  private final HttpClient client = HttpClient.newHttpClient();

  @TempDir private Path directory;
  private Process process;

  @AfterEach
  void stop() {
    process.destroyForcibly();
  }

  @Test
  void exitsAfterDrainRequest() throws Exception {
    int port = startAndAwaitLive();

    HttpRequest drain = HttpRequest.newBuilder(uri(port, "/drain")).POST(noBody()).build();
    int status = client.send(drain, HttpResponse.BodyHandlers.discarding()).statusCode();

    assertThat(status, is(202));
    assertThat(process.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES), is(true));
    assertThat(process.exitValue(), is(0));
    assertThat(log(), containsString("\"kind\":\"DRAIN_FINISHED\",\"requestsCut\":0"));
  }

  @Test
  void drainsOnTerminationSignal() throws Exception {
    startAndAwaitLive();

    process.destroy();

    assertThat(process.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES), is(true));
    assertThat(log(), containsString("\"kind\":\"DRAIN_FINISHED\",\"requestsCut\":0"));
  }

  @Test
  void reportsFaultsInSettings() throws Exception {
    start("[instance]\nid = a-1\ndomain = a\nhost = localhost\n");

    assertThat(process.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES), is(true));
    assertThat(process.exitValue(), is(2));
    assertThat(log(), containsString("[instance] host: found \"localhost\" (bad value)"));
    assertThat(log(), containsString("[platform] port: found nothing (missing key)"));
  }

  /** Starts an instance whose platform is not reachable and returns its operator port. */
  private int startAndAwaitLive() throws IOException, InterruptedException {
    int port = freePort();
    start(
        """
        [instance]
        id = a-1
        domain = a
        host = %1$s
        callerPort = %2$d
        operatorPort = %3$d
        peerPort = %4$d
        [platform]
        host = %1$s
        port = %5$d
        """
            .formatted(HOST, freePort(), port, freePort(), freePort()));
    while (process.isAlive() && !isLive(port)) {
      Thread.sleep(50);
    }
    return port;
  }

  private void start(String settings) throws IOException {
    Path file = Files.writeString(directory.resolve("instance.ini"), settings);
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                RouterMain.class.getName(),
                "--settings",
                file.toString())
            .redirectError(directory.resolve("log").toFile())
            .start();
  }

  private String log() throws IOException {
    return Files.readString(directory.resolve("log"), StandardCharsets.UTF_8);
  }

  private boolean isLive(int port) throws InterruptedException {
    try {
      HttpRequest live = HttpRequest.newBuilder(uri(port, "/live")).build();
      return client.send(live, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private static HttpRequest.BodyPublisher noBody() {
    return HttpRequest.BodyPublishers.noBody();
  }

  private static URI uri(int port, String path) {
    return URI.create("http://" + HOST + ":" + port + path);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }
}
