package org.knapweedcleat.router.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.gate.InstanceUnreachableException;

class PeerTransportTest {

  private static final String HOST = "127.0.0.1";
  private static final int TIMEOUT_MILLIS = 20_000;

  private final Vertx vertx = Vertx.vertx();
  private final MetricRegistry metrics = new MetricRegistry();
  private final Promise<PeerMessage> received = Promise.promise();

  @AfterEach
  void closeAll() throws Exception {
    await(vertx.close());
  }

  @Test
  void deliversMessagesAndResponses() throws Exception {
    IncarnationId target = incarnation("b", 2);
    PeerAddress address = listen(target);
    PeerTransport sender = transport(incarnation("a", 1));
    PeerMessage request = new DocumentRequest(Revision.of(3), 0);
    vertx.runOnContext(ignored -> sender.send(address, target, request));
    assertThat(await(received.future()), is(request));
    assertThat(await(request(sender, address, target)), is(request));
  }

  /** Guards against a shared frame that is consumed or altered by the first of its recipients. */
  @Test
  void deliversOneMessageToAllRecipients() throws Exception {
    List<BlockingQueue<PeerMessage>> queues = new ArrayList<>();
    List<FleetMember> recipients = new ArrayList<>();
    for (String instance : List.of("b", "c", "d")) {
      BlockingQueue<PeerMessage> queue = new LinkedBlockingQueue<>();
      IncarnationId incarnation = incarnation(instance, 2);
      int port = await(transport(incarnation, new EchoHandler(queue::add)).listen(HOST, 0));
      queues.add(queue);
      recipients.add(new FleetMember(incarnation, FailureDomainId.of("a"), HOST, port));
    }
    PeerTransport sender = transport(incarnation("a", 1));
    PeerMessage first = new DocumentRequest(Revision.of(3), 0);
    PeerMessage second = new DocumentRequest(Revision.of(4), 1);
    vertx.runOnContext(
        ignored -> {
          sender.sendToAll(recipients, first);
          sender.sendToAll(recipients, second);
        });
    for (BlockingQueue<PeerMessage> queue : queues) {
      assertThat(queue.poll(1, TimeUnit.MINUTES), is(first));
      assertThat(queue.poll(1, TimeUnit.MINUTES), is(second));
    }
  }

  @Test
  void neverDeliversToAnotherIncarnation() throws Exception {
    PeerAddress address = listen(incarnation("b", 3));
    PeerTransport sender = transport(incarnation("a", 1));
    Throwable failure = awaitFailure(request(sender, address, incarnation("b", 2)));
    assertThat(failure, instanceOf(InstanceUnreachableException.class));
    boolean mayHaveArrived = ((InstanceUnreachableException) failure).requestMayHaveArrived();
    assertThat(mayHaveArrived, is(false));
  }

  @Test
  void countsFaultyConnectionAndContinues() throws Exception {
    IncarnationId target = incarnation("b", 2);
    PeerAddress address = listen(target);
    var socket = await(vertx.createNetClient().connect(address.port(), HOST));
    Promise<Void> closed = Promise.promise();
    socket.closeHandler(closed::complete);
    socket.write(Buffer.buffer().appendInt(3).appendBytes(new byte[] {7, 0, 1}));
    await(closed.future());
    assertThat(metrics.counter(FrameFault.UNKNOWN_VERSION.metricName()).getCount(), is(1L));
    PeerTransport sender = transport(incarnation("a", 1));
    assertThat(await(request(sender, address, target)), instanceOf(DocumentRequest.class));
  }

  private Future<PeerMessage> request(
      PeerTransport sender, PeerAddress address, IncarnationId target) {
    Promise<PeerMessage> response = Promise.promise();
    PeerMessage message = new DocumentRequest(Revision.of(3), 0);
    vertx.runOnContext(
        ignored ->
            sender
                .request(address, target, message, TIMEOUT_MILLIS)
                .subscribe()
                .with(response::complete, response::fail));
    return response.future();
  }

  private PeerAddress listen(IncarnationId incarnation) throws Exception {
    int port = await(transport(incarnation).listen(HOST, 0));
    return new PeerAddress(incarnation.instance(), HOST, port);
  }

  private PeerTransport transport(IncarnationId self) {
    return transport(self, new EchoHandler(received::tryComplete));
  }

  private PeerTransport transport(IncarnationId self, PeerMessageHandler handler) {
    Hello hello = new Hello(self, FailureDomainId.of("a"));
    return PeerTransport.create(vertx, hello, metrics, handler);
  }

  private static IncarnationId incarnation(String instance, long startNumber) {
    return IncarnationId.of(InstanceId.of(instance), startNumber);
  }

  private static Throwable awaitFailure(Future<?> future) throws Exception {
    return await(future.transform(result -> Future.succeededFuture(result.cause())));
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
  }

  /** Passes messages on and answers each request with itself. */
  private record EchoHandler(Consumer<PeerMessage> messages) implements PeerMessageHandler {
    @Override
    public void onMessage(IncarnationId from, PeerMessage message) {
      messages.accept(message);
    }

    @Override
    public Uni<PeerMessage> onRequest(IncarnationId from, PeerMessage request) {
      return Uni.createFrom().item(request);
    }
  }
}
