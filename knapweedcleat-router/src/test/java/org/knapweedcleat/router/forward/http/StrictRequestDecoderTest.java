package org.knapweedcleat.router.forward.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.intake.SyntaxLimits;

class StrictRequestDecoderTest {

  private static final SyntaxLimits LIMITS = new SyntaxLimits(16_384, 8_192, 100, 1_000, 20_000);
  private static final int SLICE_BYTES = 4_096;
  private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  private final StrictRequestDecoder decoder = new StrictRequestDecoder(LIMITS);
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  /** Guards against a head whose cost grows faster than its length. */
  @Test
  void workOnHeadIsLinearInItsLines() {
    long shortWork = workOn(1_000);
    long longWork = workOn(4_000);

    assertThat(longWork, greaterThan(3 * shortWork));
    assertThat(longWork, lessThanOrEqualTo(4 * shortWork + 100));
  }

  /** Guards against refusing a head of thousands of lines inside the published limits. */
  @Test
  void headOfThousandsOfLinesIsAccepted() {
    List<HttpObject> messages = decode(HEAD + "a:\r\n".repeat(4_000) + "\r\n");

    assertThat(messages.get(0).decoderResult().isSuccess(), is(true));
    assertThat(((HttpRequest) messages.get(0)).headers().size(), is(4_001));
  }

  @Test
  void headWithTooManyLinesIsRejected() {
    SyntaxLimits few = new SyntaxLimits(16_384, 10, 10, 10, 1_000);
    EmbeddedChannel limited = new EmbeddedChannel(new StrictRequestDecoder(few));
    limited.writeInbound(bytes(HEAD + "a:\r\n".repeat(10) + "\r\n"));

    HttpObject message = limited.readInbound();
    assertThat(message.decoderResult().cause(), instanceOf(TooLongHttpHeaderException.class));
  }

  /** Guards against folded lines, each of which copies the whole value before it. */
  @Test
  void headWithManyFoldedLinesIsRejected() {
    List<HttpObject> messages = decode(HEAD + "a: b\r\n" + " c\r\n".repeat(3_000));

    assertThat(
        messages.get(0).decoderResult().cause(), instanceOf(TooLongHttpHeaderException.class));
  }

  @Test
  void fewFoldedLinesAreAccepted() {
    List<HttpObject> messages = decode(HEAD + "a: b\r\n c\r\n d\r\n\r\n");

    assertThat(((HttpRequest) messages.get(0)).headers().get("a"), is("b c d"));
  }

  @Test
  void bodyWithTooManyChunksIsRejected() {
    assertBodyRejected(
        "1\r\nx\r\n".repeat((int) LIMITS.maxChunks() + 1), TooLongHttpContentException.class);
  }

  @Test
  void bodyWithAllPermittedChunksIsAccepted() {
    List<HttpObject> messages =
        decode(CHUNKED + "1\r\nx\r\n".repeat((int) LIMITS.maxChunks()) + "0\r\n\r\n");

    assertThat(messages.get(messages.size() - 1), is(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Test
  void bodyWithTooLongExtensionsIsRejected() {
    assertBodyRejected(
        ("1;" + "e".repeat(1_000) + "\r\nx\r\n").repeat(21), TooLongHttpContentException.class);
  }

  /** Guards against counting a chunk once for each packet in which it arrives. */
  @Test
  void chunkInManyPacketsCountsOnce() {
    channel.writeInbound(bytes(CHUNKED + "1000\r\n"));
    for (int i = 0; i < 4_096; i++) {
      channel.writeInbound(bytes("x"));
    }
    channel.writeInbound(bytes("\r\n0\r\n\r\n"));

    List<HttpObject> messages = readAll();
    assertThat(messages.get(messages.size() - 1), is(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Test
  void tooManyTrailerLinesAreRejected() {
    assertBodyRejected("0\r\n" + "a:\r\n".repeat(101), TooLongHttpHeaderException.class);
  }

  /** Guards against short lines that are counted by their length on the wire. */
  @Test
  void partialHeadOfShortLinesCostsMoreThanItsLength() {
    decode(HEAD + "a:\r\n".repeat(1_000));

    assertThat(decoder.heapBytes(), greaterThan(100_000L));
    assertThat(decoder.isIdle(), is(false));
  }

  @Test
  void decoderIsOutdatedBetweenRequestsOnly() {
    SyntaxLimits raised = new SyntaxLimits(32_768, 16_384, 100, 1_000, 20_000);
    assertThat(decoder.isOutdated(raised), is(true));
    assertThat(decoder.isOutdated(LIMITS), is(false));

    decode("GET / HT");
    assertThat(decoder.isOutdated(raised), is(false));
    decode("TP/1.1\r\nHost: h\r\n\r\n");
    assertThat(decoder.isOutdated(raised), is(true));
  }

  private long workOn(int lines) {
    StrictRequestDecoder counted = new StrictRequestDecoder(LIMITS);
    EmbeddedChannel counting = new EmbeddedChannel(counted);
    write(counting, HEAD + "a:\r\n".repeat(lines) + "\r\n");
    counting.finishAndReleaseAll();
    return counted.examinedBytes();
  }

  private void assertBodyRejected(String body, Class<? extends Throwable> cause) {
    List<HttpObject> messages = decode(CHUNKED + body);

    assertThat(
        messages.stream().anyMatch(message -> cause.isInstance(message.decoderResult().cause())),
        is(true));
  }

  private List<HttpObject> decode(String text) {
    write(channel, text);
    return readAll();
  }

  private List<HttpObject> readAll() {
    List<HttpObject> messages = new ArrayList<>();
    for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
      messages.add(next);
      ReferenceCountUtil.release(next);
    }
    return messages;
  }

  private static void write(EmbeddedChannel to, String text) {
    for (int start = 0; start < text.length(); start += SLICE_BYTES) {
      to.writeInbound(bytes(text.substring(start, Math.min(text.length(), start + SLICE_BYTES))));
    }
  }

  private static Object bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }
}
