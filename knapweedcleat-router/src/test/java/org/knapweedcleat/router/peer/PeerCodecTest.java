package org.knapweedcleat.router.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementRequest;

class PeerCodecTest {

  private record Unregistered(long number) implements PeerMessage {}

  private final PeerCodec codec = PeerCodec.create();

  private final PeerMessage sample =
      new PlacementRequest(
          RequestId.of("r-1"),
          2,
          IncarnationId.of(InstanceId.of("a-1"), -5),
          ServiceId.of("notes"),
          AccountId.of("families"),
          true,
          1200,
          64,
          List.of(1L, -9L),
          5000);

  @Test
  void roundTripsMessage() {
    assertThat(codec.decodeBody(codec.encodeBody(sample)), is(Either.right(sample)));
  }

  @Test
  void reportsFaultOfInvalidBody() {
    byte[] body = codec.encodeBody(sample);
    byte[] otherVersion = body.clone();
    otherVersion[0] = 9;
    byte[] otherType = body.clone();
    otherType[1] = 0x7f;
    assertThat(codec.decodeBody(new byte[2]), is(Either.left(FrameFault.UNDERSIZED)));
    assertThat(codec.decodeBody(otherVersion), is(Either.left(FrameFault.UNKNOWN_VERSION)));
    assertThat(codec.decodeBody(otherType), is(Either.left(FrameFault.UNKNOWN_TYPE)));
    byte[] truncated = Arrays.copyOf(body, body.length - 3);
    assertThat(codec.decodeBody(truncated), is(Either.left(FrameFault.UNDECODABLE)));
  }

  @Test
  void rejectsUnregisteredMessageType() {
    assertThrows(IllegalArgumentException.class, () -> codec.encodeBody(new Unregistered(1)));
  }

  @Property(seed = "7", tries = 2000)
  void decodingNeverThrows(@ForAll byte[] bytes, @ForAll byte position) {
    codec.decodeBody(bytes);
    byte[] changed = codec.encodeBody(sample);
    int index = Math.floorMod(position, changed.length);
    changed[index] ^= bytes.length == 0 ? 1 : bytes[0];
    assertThat(changed.length, greaterThan(PeerCodec.HEADER_BYTES));
    codec.decodeBody(changed);
  }
}
