package org.knapweedcleat.router.peer;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.gate.InstanceUnreachableException;

/**
 * Outgoing connection to one instance, opened on demand.
 *
 * <p>Messages sent while the connection is being opened wait in a bounded queue. If the connection
 * cannot be opened or breaks, queued messages are dropped and pending requests fail; the protocols
 * built on this transport retry what they need.
 */
final class PeerClient {

  private static final int MAX_QUEUED_MESSAGES = 1000;

  private final Vertx vertx;
  private final NetClient client;
  private final PeerAddress address;
  private final Hello self;
  private final PeerCodec codec;
  private final MetricRegistry metrics;
  private final Deque<Outgoing> queue = new ArrayDeque<>();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private PeerConnection connection;
  private boolean opening;
  private long lastRequestNumber;

  private PeerClient(
      Vertx vertx,
      NetClient client,
      PeerAddress address,
      Hello self,
      PeerCodec codec,
      MetricRegistry metrics) {
    this.vertx = vertx;
    this.client = client;
    this.address = address;
    this.self = self;
    this.codec = codec;
    this.metrics = metrics;
  }

  static PeerClient of(
      Vertx vertx,
      NetClient client,
      PeerAddress address,
      Hello self,
      PeerCodec codec,
      MetricRegistry metrics) {
    return new PeerClient(vertx, client, address, self, codec, metrics);
  }

  PeerAddress address() {
    return address;
  }

  /**
   * Sends a message.
   *
   * @param target the only incarnation that may receive it, null for whichever listens there
   * @param frame the message
   */
  void send(IncarnationId target, PeerFrame frame) {
    submit(new Outgoing(target, frame, null));
  }

  /**
   * Sends a request.
   *
   * @param target the only incarnation that may receive it
   * @param request the request
   * @param timeoutMillis how long to wait for the response
   * @return the response; fails with {@link InstanceUnreachableException}
   */
  Uni<PeerMessage> request(IncarnationId target, PeerMessage request, long timeoutMillis) {
    return Uni.createFrom()
        .emitter(emitter -> submitRequest(target, request, timeoutMillis, emitter));
  }

  void close() {
    dropQueued();
    if (connection != null) {
      connection.close();
    }
  }

  private void submitRequest(
      IncarnationId target,
      PeerMessage request,
      long timeoutMillis,
      UniEmitter<? super PeerMessage> emitter) {
    long requestNumber = ++lastRequestNumber;
    RequestEnvelope envelope = new RequestEnvelope(requestNumber, codec.encodeBody(request));
    PendingRequest pending = new PendingRequest(target, emitter);
    pendingRequests.put(requestNumber, pending);
    vertx.setTimer(timeoutMillis, timer -> failRequest(requestNumber));
    submit(new Outgoing(target, PeerFrame.of(codec, envelope), requestNumber));
  }

  private void submit(Outgoing outgoing) {
    if (isReady()) {
      write(outgoing);
      return;
    }
    if (queue.size() >= MAX_QUEUED_MESSAGES) {
      drop(outgoing);
      return;
    }
    queue.add(outgoing);
    open();
  }

  private boolean isReady() {
    return connection != null && connection.remote() != null;
  }

  private void write(Outgoing outgoing) {
    IncarnationId remote = connection.remote().sender();
    boolean wrongTarget = outgoing.target() != null && !outgoing.target().equals(remote);
    if (wrongTarget || connection.isBackedUp()) {
      drop(outgoing);
      return;
    }
    if (outgoing.requestNumber() != null) {
      pendingRequests.computeIfPresent(
          outgoing.requestNumber(), (number, pending) -> pending.written());
    }
    connection.send(outgoing.frame());
  }

  private void drop(Outgoing outgoing) {
    metrics.counter("peer.messages.dropped").inc();
    if (outgoing.requestNumber() != null) {
      failRequest(outgoing.requestNumber());
    }
  }

  private void open() {
    if (opening || connection != null) {
      return;
    }
    opening = true;
    client
        .connect(address.port(), address.host())
        .onSuccess(this::onOpen)
        .onFailure(failure -> onOpenFailed());
  }

  private void onOpen(NetSocket socket) {
    opening = false;
    connection = PeerConnection.of(socket, codec, metrics);
    connection.onHello(hello -> flush());
    connection.onMessage(this::onMessage);
    connection.onClose(this::onClosed);
    connection.send(self);
  }

  private void onOpenFailed() {
    opening = false;
    metrics.counter("peer.connections.failed").inc();
    dropQueued();
  }

  private void onClosed() {
    connection = null;
    dropQueued();
    List.copyOf(pendingRequests.keySet()).forEach(this::failRequest);
  }

  private void flush() {
    List<Outgoing> queued = new ArrayList<>(queue);
    queue.clear();
    queued.forEach(this::write);
  }

  private void dropQueued() {
    List<Outgoing> queued = new ArrayList<>(queue);
    queue.clear();
    queued.forEach(this::drop);
  }

  private void onMessage(PeerMessage message) {
    if (!(message instanceof ResponseEnvelope response)) {
      return;
    }
    PendingRequest pending = pendingRequests.remove(response.requestNumber());
    if (pending == null) {
      metrics.counter("peer.answers.late").inc();
      return;
    }
    codec
        .decodeBody(response.body())
        .peek(pending.emitter()::complete)
        .peekLeft(fault -> pending.fail());
  }

  private void failRequest(long requestNumber) {
    PendingRequest pending = pendingRequests.remove(requestNumber);
    if (pending != null) {
      pending.fail();
    }
  }

  private record Outgoing(IncarnationId target, PeerFrame frame, Long requestNumber) {}

  private static final class PendingRequest {
    private final IncarnationId target;
    private final UniEmitter<? super PeerMessage> emitter;
    private boolean written;

    PendingRequest(IncarnationId target, UniEmitter<? super PeerMessage> emitter) {
      this.target = target;
      this.emitter = emitter;
    }

    UniEmitter<? super PeerMessage> emitter() {
      return emitter;
    }

    PendingRequest written() {
      written = true;
      return this;
    }

    void fail() {
      emitter.fail(new InstanceUnreachableException(target, written));
    }
  }
}
