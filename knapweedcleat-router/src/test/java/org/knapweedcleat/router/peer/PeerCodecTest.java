package org.knapweedcleat.router.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.router.forward.fleet.DirectoryResponse;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class PeerCodecTest {

  private record Unregistered(long number) implements PeerMessage {}

  private static final ServiceId NOTES = ServiceId.of("notes");
  private static final EngineProfile ENGINE = new EngineProfile(64, 34_000, 500, 13);

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
  void roundTripsLimitOfColdEndpoints() {
    DirectoryResponse message = response(new ServiceProfile(NOTES, 370, ENGINE, 2.5, 20_000));

    assertThat(codec.decodeBody(codec.encodeBody(message)), is(Either.right(message)));
  }

  /** Guards against a configuration that older builds reject for its length. */
  @Test
  void serviceWithoutLimitOfColdEndpointsIsEncodedAsBefore() throws IOException {
    DirectoryResponse message = response(new ServiceProfile(NOTES, 370, ENGINE));
    byte[] body = codec.encodeBody(message);
    JsonNode services =
        new ObjectMapper(new MessagePackFactory())
            .readTree(Arrays.copyOfRange(body, PeerCodec.HEADER_BYTES, body.length))
            .get(0)
            .get(0)
            .get(2);

    assertThat(services.get(0).size(), is(3));
    assertThat(codec.decodeBody(body), is(Either.right(message)));
  }

  private static DirectoryResponse response(ServiceProfile service) {
    RoutingContent content =
        new RoutingContent(3, List.of(), List.of(service), false, List.of(), RequestLimits.INITIAL);
    return new DirectoryResponse(List.of(content), List.of(), List.of(), -1);
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
