package org.knapweedcleat.router.peer;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.listener.ListenerGuard;
import org.knapweedcleat.router.listener.SocketMeter;

/**
 * Sends messages to other instances and receives theirs; confined to one event loop.
 *
 * <p>Messages may be lost, and messages on different connections may be reordered. They are never
 * altered and never delivered to an incarnation other than the target.
 */
public final class PeerTransport implements PeerMessenger {

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  private final Vertx vertx;
  private final Hello self;
  private final PeerCodec codec = PeerCodec.create();
  private final MetricRegistry metrics;
  private final PeerMessageHandler handler;
  private final NetClient client;
  private final Map<InstanceId, PeerClient> clients = new HashMap<>();
  private final Set<PeerConnection> acceptedConnections = new HashSet<>();
  private NetServer server;
  private Optional<ListenerGuard> guard = Optional.empty();

  private PeerTransport(
      Vertx vertx, Hello self, MetricRegistry metrics, PeerMessageHandler handler) {
    this.vertx = vertx;
    this.self = self;
    this.metrics = metrics;
    this.handler = handler;
    NetClientOptions options = new NetClientOptions();
    options.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    options.setTcpNoDelay(true);
    this.client = vertx.createNetClient(options);
  }

  /**
   * Creates a transport that neither listens nor has connections yet.
   *
   * @param vertx the Vert.x instance; call this method on the transport's event loop
   * @param self the handshake of this instance
   * @param metrics counts messages, bytes and faults
   * @param handler handles incoming messages and requests
   * @return the transport
   */
  public static PeerTransport create(
      Vertx vertx, Hello self, MetricRegistry metrics, PeerMessageHandler handler) {
    return new PeerTransport(vertx, self, metrics, handler);
  }

  /**
   * Limits what clients may hold; must be called before the transport listens.
   *
   * @param listenerGuard applies the limits
   */
  public void guardWith(ListenerGuard listenerGuard) {
    guard = Optional.of(listenerGuard);
  }

  /**
   * Starts to listen.
   *
   * @param host the IP address to listen on
   * @param port the TCP port, 0 for any free one
   * @return the port that is listened on
   */
  public Future<Integer> listen(String host, int port) {
    server = vertx.createNetServer().connectHandler(this::accept);
    return server.listen(port, host).map(NetServer::actualPort);
  }

  @Override
  public void send(PeerAddress address, PeerMessage message) {
    clientFor(address).send(null, PeerFrame.of(codec, message));
  }

  @Override
  public void send(PeerAddress address, IncarnationId target, PeerMessage message) {
    clientFor(address).send(target, PeerFrame.of(codec, message));
  }

  @Override
  public void sendToAll(Collection<FleetMember> recipients, PeerMessage message) {
    PeerFrame frame = PeerFrame.of(codec, message);
    recipients.forEach(
        member -> clientFor(PeerAddress.of(member)).send(member.incarnation(), frame));
  }

  @Override
  public Uni<PeerMessage> request(
      PeerAddress address, IncarnationId target, PeerMessage request, long timeoutMillis) {
    return clientFor(address).request(target, request, timeoutMillis);
  }

  /**
   * Stops listening and closes all connections.
   *
   * @return completes when all connections are closed
   */
  public Future<Void> close() {
    clients.values().forEach(PeerClient::close);
    Set.copyOf(acceptedConnections).forEach(PeerConnection::close);
    Future<Void> stopped = server == null ? Future.succeededFuture() : server.close();
    return stopped.compose(ignored -> client.close());
  }

  private PeerClient clientFor(PeerAddress address) {
    PeerClient existing = clients.get(address.instance());
    if (existing != null && existing.address().equals(address)) {
      return existing;
    }
    if (existing != null) {
      existing.close();
    }
    PeerClient created = PeerClient.of(vertx, client, address, self, codec, metrics);
    clients.put(address.instance(), created);
    return created;
  }

  private void accept(NetSocket socket) {
    PeerConnection connection = PeerConnection.of(socket, codec, metrics);
    Optional<SocketMeter> meter = guard.map(limits -> SocketMeter.open(limits, socket));
    if (meter.map(SocketMeter::isRefused).orElse(false)) {
      connection.close();
      return;
    }
    acceptedConnections.add(connection);
    connection.onClose(
        () -> {
          acceptedConnections.remove(connection);
          meter.ifPresent(SocketMeter::closed);
        });
    connection.onRead(
        (bytes, pendingBytes) -> {
          boolean greeted = connection.remote() != null;
          meter.ifPresent(usage -> usage.onRead(bytes, pendingBytes, greeted));
        });
    connection.onHello(hello -> connection.send(self));
    connection.onMessage(message -> receive(connection, message));
  }

  private void receive(PeerConnection connection, PeerMessage message) {
    IncarnationId from = connection.remote().sender();
    if (message instanceof RequestEnvelope envelope) {
      codec
          .decodeBody(envelope.body())
          .peek(request -> respond(connection, from, envelope.requestNumber(), request))
          .peekLeft(fault -> connection.close());
      return;
    }
    handler.onMessage(from, message);
  }

  private void respond(
      PeerConnection connection, IncarnationId from, long requestNumber, PeerMessage request) {
    handler
        .onRequest(from, request)
        .subscribe()
        .with(
            response ->
                connection.send(new ResponseEnvelope(requestNumber, codec.encodeBody(response))),
            failure -> connection.close());
  }
}
