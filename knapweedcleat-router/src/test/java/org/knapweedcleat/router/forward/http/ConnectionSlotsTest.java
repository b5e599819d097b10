package org.knapweedcleat.router.forward.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.router.forward.codec.RequestHead;

/** Guards against more connections to an endpoint than it accepts, and against lost requests. */
class ConnectionSlotsTest {

  private static final String ADDRESS = "127.0.0.1:80";

  private final ConnectionSlots slots = new ConnectionSlots(address -> 2);

  @Test
  void limitsOpenConnections() {
    slots.recordOpened(ADDRESS);
    assertThat(slots.hasFree(ADDRESS), is(true));
    slots.recordOpened(ADDRESS);
    assertThat(slots.hasFree(ADDRESS), is(false));
    assertThat(slots.hasFree("127.0.0.1:81"), is(true));
    slots.recordClosed(ADDRESS);
    assertThat(slots.hasFree(ADDRESS), is(true));
  }

  @Test
  void servesWaitingRequestsInOrderWithoutAbortedOnes() {
    WaitingRequest aborted = request();
    WaitingRequest first = request();
    WaitingRequest second = request();
    List.of(aborted, first, second).forEach(slots::enqueue);
    aborted.request().abort();

    assertThat(slots.poll(ADDRESS, one -> true), is(Optional.of(first)));
    assertThat(slots.poll(ADDRESS, one -> one == first), is(Optional.empty()));
    assertThat(slots.poll(ADDRESS, one -> true), is(Optional.of(second)));
    assertThat(slots.poll(ADDRESS, one -> true), is(Optional.empty()));
  }

  private static WaitingRequest request() {
    return new WaitingRequest(
        "127.0.0.1",
        80,
        new RequestHead("GET", "/", List.of()),
        Buffer.buffer(),
        ResponseMatcher.ofOther(Optional.empty(), head -> Optional.empty()),
        new EndpointRequest(BufferedResponseListener.ignored()));
  }
}
