package org.knapweedcleat.router.forward.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import org.junit.jupiter.api.Test;

class SegmentedBodyTest {

  private static final int MEGABYTE = 1_048_576;

  private final SegmentedBody body = new SegmentedBody();

  /** Guards against one-byte parts that cost many times their length. */
  @Test
  void oneBytePartsCostLittleMoreThanTheirLength() {
    for (int i = 0; i < MEGABYTE; i++) {
      body.append(Unpooled.wrappedBuffer(new byte[] {(byte) i}));
    }

    assertThat(body.length(), is(MEGABYTE));
    assertThat(body.capacityBytes(), lessThan(MEGABYTE + 100_000));
    Buffer whole = body.toBuffer();
    assertThat(whole.length(), is(MEGABYTE));
    for (int i = 0; i < MEGABYTE; i += 997) {
      assertThat(whole.getByte(i), is((byte) i));
    }
  }

  /** Guards against a body that is gone when its request is sent to a second endpoint. */
  @Test
  void bodyCanBeSentSeveralTimes() {
    body.append(Unpooled.wrappedBuffer(new byte[100_000]));
    BufferInternal whole = (BufferInternal) body.toBuffer();
    whole.getByteBuf().release();
    whole.getByteBuf().release();

    assertThat(whole.getByteBuf().readableBytes(), is(100_000));
    assertThat(whole.length(), is(100_000));
  }

  @Test
  void emptyBodyHasNoBytes() {
    assertThat(body.toBuffer().length(), is(0));
  }
}
