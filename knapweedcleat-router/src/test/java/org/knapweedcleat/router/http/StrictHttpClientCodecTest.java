package org.knapweedcleat.router.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that belong to no response, or to an earlier one, within the next one. */
class StrictHttpClientCodecTest {

  private static final int MAX_HEAD_BYTES = 65_536;
  private static final int PLAYS = 20_000;
  private static final String FAILED = "failed";

  private final List<Integer> unsolicited = new ArrayList<>();
  private String awaitedId = "1";
  private final EmbeddedChannel channel = open();

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  @Test
  void passesResponseOn() {
    send(HttpMethod.GET);

    assertThat(receive(response("200 OK", "1", "one")), is("200:one."));
    assertThat(unsolicited, empty());
  }

  @Test
  void discardsBytesThatArriveWhileIdle() {
    send(HttpMethod.GET);
    receive(response("200 OK", "1", "one"));
    String copy = response("200 OK", "1", "one");

    assertThat(receive(copy.substring(0, 13)), is(""));
    assertThat(unsolicited, is(List.of(13)));
    sendAs("2");
    assertThat(receive(response("500 X", "2", "two")), is("500:two."));
  }

  @Test
  void discardsBytesBehindResponseInTheSameRead() {
    send(HttpMethod.GET);

    assertThat(receive(response("200 OK", "1", "one") + "HTTP/1.1 200 "), is("200:one."));
    assertThat(unsolicited, is(List.of(13)));
  }

  @Test
  void dropsResponsesToOtherRequests() {
    sendAs("2");

    assertThat(
        receive(
            response("200 OK", "1", "one")
                + chunkedResponse("503 Busy", "0", "zero")
                + response("204 None", "1", "")
                + response("500 X", "2", "two")),
        is("500:two."));
    assertThat(unsolicited, empty());
  }

  @Test
  void passesOneResponseAfterAnotherOn() {
    for (String id : List.of("1", "2", "3")) {
      sendAs(id);

      assertThat(receive(response("200 OK", id, "one")), is("200:one."));
    }
  }

  /** The copy follows the missing bytes of the body, which it fills up. */
  @Test
  void rejectsBodyThatIsFilledUpByRepeatedResponse() {
    String response = response("200 OK", "1", "confirmed");
    for (int missing = 1; missing < "confirmed".length(); missing++) {
      EmbeddedChannel connection = open();
      write(connection, HttpMethod.GET);

      String received =
          read(connection, response.substring(0, response.length() - missing) + response);

      assertThat(received, endsWith(FAILED));
      connection.finishAndReleaseAll();
    }
  }

  /** The missing bytes and the rest of the copy come in reads of their own, in one read loop. */
  @Test
  void rejectsBodyWhoseCopyContinuesInTheNextRead() {
    String response = response("200 OK", "1", "confirmed");
    String copy = response("200 OK", "1", "confirmed");
    for (int missing = 1; missing < "confirmed".length(); missing++) {
      EmbeddedChannel connection = open();
      write(connection, HttpMethod.GET);
      connection.writeOneInbound(
          bytes(response.substring(0, response.length() - missing) + copy.substring(0, missing)));
      connection.writeOneInbound(bytes(copy.substring(missing)));

      assertThat(read(connection, ""), endsWith(FAILED));
      connection.finishAndReleaseAll();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "the server sent HTTP/1.1 200 OK\r\nDate: today\r\n\r\n",
        "HTTP/1.1 200 OK is a status line, Id: 1 none",
        "HTTP/1.1 200 OK\nId: 1\n",
        "ends in H",
        "ends in HTTP/1.1 200"
      })
  void passesBodyOnThatMentionsStatusLine(String body) {
    send(HttpMethod.GET);

    assertThat(receive(response("200 OK", "1", body)), is("200:" + body + "."));
  }

  @Test
  void findsHeadBehindMentionOfStatusLine() {
    send(HttpMethod.GET);
    String mention = "HTTP/1.1 200 OK\r\nno header\r\n" + "x".repeat(5_000);
    String sent = response("200 OK", "1", mention + "y".repeat(500));

    assertThat(
        receive(sent.substring(0, sent.length() - 400) + response("500 X", "1", "two")),
        startsWith("200:" + FAILED));
  }

  @Test
  void responseToHeadRequestHasNoBody() {
    send(HttpMethod.HEAD);

    assertThat(receive("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n"), is("200:."));
  }

  @Test
  void interimResponseLeavesRequestWaiting() {
    send(HttpMethod.GET);

    assertThat(
        receive("HTTP/1.1 103 Early Hints\r\n\r\n" + response("200 OK", "1", "one")),
        is("103:.200:one."));
    assertThat(unsolicited, empty());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 HTTP/1.1 500 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nDate: SatHTTP/1.1 500 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nHTTP/1.1 500 a: b\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1HTTP/1.1 500 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "TP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
        "HTTP/1.1 200 OK\r\nHTTP/1.1 500 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 90\r\n\r\nconfHTTP/1.1 500 X\r\nId: 1\r\n",
        "HTTP/1.1 099 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
      })
  void rejectsWhatIsNotOneResponse(String bytes) {
    send(HttpMethod.GET);

    assertThat(receive(bytes), startsWith(FAILED));
  }

  /** What follows the size of a chunk in its line is read as nothing. */
  @ParameterizedTest
  @ValueSource(strings = {"0", "0\r", "0 ", "0;", "0;a=b", "0\r\n", "0\r\n\r", "0\r\nChecked: y"})
  void rejectsStatusLineInLastChunk(String cutOff) {
    send(HttpMethod.GET);
    String copy = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n";

    String received = receive(copy + cutOff) + receive(response("500 X", "1", "two"));
    assertThat(received, startsWith("200:one" + FAILED));
  }

  /** Copies of any earlier response, cut off anywhere, in front of a response; random reads. */
  @Test
  void neverJoinsTwoResponses() {
    Random random = new Random(39);
    for (int play = 0; play < PLAYS; play++) {
      awaitedId = "2";
      EmbeddedChannel connection = open();
      write(connection, HttpMethod.GET);
      String copy = randomResponse(random, "200 OK", "1");
      String response = randomResponse(random, "500 X", "2");
      String sent = copy.substring(0, random.nextInt(copy.length() + 1)) + response;

      StringBuilder received = new StringBuilder();
      for (int from = 0; from < sent.length(); ) {
        int to = Math.min(sent.length(), from + 1 + random.nextInt(40));
        received.append(read(connection, sent.substring(from, to)));
        from = to;
      }

      String label = "play " + play + " " + sent + " gave " + received;
      boolean isResponse = received.toString().equals("500:two.");
      assertThat(label, isResponse || received.toString().startsWith(FAILED), is(true));
      connection.finishAndReleaseAll();
    }
  }

  private static String randomResponse(Random random, String status, String id) {
    String body = "1".equals(id) ? "one".repeat(1 + random.nextInt(60)) : "two";
    return random.nextBoolean() ? response(status, id, body) : chunkedResponse(status, id, body);
  }

  private static String response(String status, String id, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\nDate: Sat, 05 Dec 2026 09:24:43 GMT\r\nId: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String chunkedResponse(String status, String id, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\nId: "
        + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(body.length())
        + "\r\n"
        + body
        + "\r\n0\r\n\r\n";
  }

  private EmbeddedChannel open() {
    return new EmbeddedChannel(
        StrictHttpClientCodec.create(
            MAX_HEAD_BYTES,
            new ResponseRecipient() {
              @Override
              public boolean isAwaited(HttpResponse response) {
                return awaitedId.equals(response.headers().get("Id"));
              }

              @Override
              public boolean revealsResponse(String line) {
                return line.equals("Id: " + awaitedId);
              }

              @Override
              public void onUnsolicitedBytes(int count) {
                unsolicited.add(count);
              }
            }));
  }

  private void sendAs(String id) {
    awaitedId = id;
    send(HttpMethod.GET);
  }

  private void send(HttpMethod method) {
    write(channel, method);
  }

  private static void write(EmbeddedChannel connection, HttpMethod method) {
    connection.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
  }

  private String receive(String bytes) {
    return read(channel, bytes);
  }

  /** Returns status, body and end of each response, or that reading failed. */
  private static String read(EmbeddedChannel connection, String bytes) {
    connection.writeInbound(bytes(bytes));
    StringBuilder messages = new StringBuilder();
    for (Object next = connection.readInbound(); next != null; next = connection.readInbound()) {
      messages.append(describe((HttpObject) next));
      ReferenceCountUtil.release(next);
    }
    return messages.toString();
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static String describe(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      return FAILED;
    }
    String head = message instanceof HttpResponse response ? response.status().code() + ":" : "";
    String body =
        message instanceof HttpContent content
            ? content.content().toString(StandardCharsets.US_ASCII)
            : "";
    return head + body + (message instanceof LastHttpContent ? "." : "");
  }
}
