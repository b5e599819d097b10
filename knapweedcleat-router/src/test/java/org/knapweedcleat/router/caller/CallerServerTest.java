package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerServerTest {

  private final CallerServerFixture fixture = CallerServerFixture.start();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void respondsToInvalidHttpWithTypedErrorsAndKeepsServing() throws IOException {
    assertThat(sendRaw("GARBAGE\r\n\r\n"), containsString("\"error\":\"MALFORMED\""));
    String header = "X-Long: " + "x".repeat(5_000) + "\r\n";
    assertThat(
        sendRaw("GET / HTTP/1.1\r\nHost: a\r\n" + header + "\r\n"),
        containsString("\"error\":\"TOO_LARGE\""));
    String requestLine = "GET /" + "x".repeat(9_000) + " HTTP/1.1\r\n\r\n";
    assertThat(sendRaw(requestLine), containsString("\"error\":\"TOO_LARGE\""));

    SplitRequestExecutorTest.assertError(fixture.get("/nowhere"), 404, "NO_ROUTE", "no");
    assertThat(fixture.metrics.counter("caller.error.malformed").getCount(), is(1L));
    assertThat(fixture.metrics.counter("caller.error.too_large").getCount(), is(2L));
  }

  private String sendRaw(String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fixture.port)) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
