package org.knapweedcleat.router.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FrameDecoderTest {

  private final List<byte[]> bodies = new ArrayList<>();
  private final List<FrameFault> faults = new ArrayList<>();
  private final FrameDecoder decoder = FrameDecoder.of(bodies::add, faults::add);

  @Property(seed = "11", tries = 200)
  void decodesFramesFromChunksOfAnySize(@ForAll @IntRange(min = 1, max = 40) int chunkBytes) {
    bodies.clear();
    Buffer stream = Buffer.buffer();
    for (int bodyBytes = 3; bodyBytes < 30; bodyBytes++) {
      stream.appendInt(bodyBytes).appendBytes(new byte[bodyBytes]);
    }
    for (int offset = 0; offset < stream.length(); offset += chunkBytes) {
      decoder.handle(stream.getBuffer(offset, Math.min(stream.length(), offset + chunkBytes)));
    }
    assertThat(bodies.size(), is(27));
    assertThat(bodies.get(26).length, is(29));
    assertThat(faults, empty());
  }

  @Test
  void stopsAfterOversizedFrame() {
    decoder.handle(Buffer.buffer().appendInt(PeerCodec.MAX_BODY_BYTES + 1));
    decoder.handle(Buffer.buffer().appendInt(3).appendBytes(new byte[3]));
    decoder.endOfStream();
    assertThat(faults, contains(FrameFault.OVERSIZED));
    assertThat(bodies, empty());
  }

  @Test
  void rejectsNegativeLength() {
    decoder.handle(Buffer.buffer().appendInt(-1));
    assertThat(faults, contains(FrameFault.UNDERSIZED));
  }

  @Test
  void reportsTruncatedFrame() {
    decoder.handle(Buffer.buffer().appendInt(10).appendBytes(new byte[4]));
    decoder.endOfStream();
    assertThat(faults, contains(FrameFault.CUT));
  }

  @Test
  void acceptsEndOfStreamBetweenFrames() {
    decoder.handle(Buffer.buffer().appendInt(3).appendBytes(new byte[3]));
    decoder.endOfStream();
    assertThat(faults, empty());
  }
}
