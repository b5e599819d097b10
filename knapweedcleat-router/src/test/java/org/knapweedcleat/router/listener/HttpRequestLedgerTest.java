package org.knapweedcleat.router.listener;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against memory of a connection that is not counted, or counted after it is released. */
class HttpRequestLedgerTest {

  private static final int MAX_LINES = 100;
  private static final int MAX_DISCARD_BYTES = 1_000;

  private final HttpRequestLedger ledger = new HttpRequestLedger(MAX_LINES, MAX_DISCARD_BYTES);

  @Test
  void countsShortLinesByTheirHeapCost() {
    read("a:\r\n".repeat(50));

    assertThat(held(), greaterThan(50L * 100));
    assertThat(ledger.usage(0, 0).headerLines(), is(49));
    assertThat(ledger.usage(0, 0).waitsForClient(), is(true));
  }

  @Test
  void releasesRequestWithItsResponse() {
    request(5, 1_000);

    assertThat(held(), greaterThan(2_000L));
    assertThat(ledger.usage(0, 0).waitsForClient(), is(false));
    ledger.onResponseStart();
    ledger.onResponseEnd();
    assertThat(held(), is(0L));
  }

  @Test
  void countsUnreadResponse() {
    assertThat(ledger.usage(500, 0).heldBytes(), is(500L));
    assertThat(ledger.usage(500, 0).waitsForClient(), is(true));
  }

  @Test
  void countsTrailerLines() {
    ledger.beginRead(Unpooled.copiedBuffer("head", StandardCharsets.US_ASCII));
    ledger.onHead(1);
    ledger.endRead();
    read("a:\r\n".repeat(200));

    assertThat(ledger.usage(0, 0).headerLines(), greaterThan(MAX_LINES));
  }

  @Test
  void discardsBoundedRestOfBodyThatWasRefused() {
    ledger.onHead(1);
    ledger.onContent(100);
    ledger.onResponseStart();
    ledger.onResponseEnd();
    ledger.onContent(MAX_DISCARD_BYTES);

    assertThat(held(), lessThan(100L));
    assertThat(ledger.exceedsDiscardLimit(), is(false));
    ledger.onContent(1);
    assertThat(ledger.exceedsDiscardLimit(), is(true));
  }

  @Test
  void refusesOnlyBeforeAnythingRuns() {
    assertThat(ledger.mayRefuse(), is(true));
    request(1, 0);
    assertThat(ledger.mayRefuse(), is(false));
  }

  private void request(int lines, int bodyBytes) {
    ledger.beginRead(Unpooled.copiedBuffer("x\n", StandardCharsets.US_ASCII));
    ledger.onHead(lines);
    ledger.onContent(bodyBytes);
    ledger.onRequestEnd();
    ledger.endRead();
  }

  private void read(String text) {
    ledger.beginRead(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    ledger.endRead();
  }

  private long held() {
    return ledger.usage(0, 0).heldBytes();
  }
}
