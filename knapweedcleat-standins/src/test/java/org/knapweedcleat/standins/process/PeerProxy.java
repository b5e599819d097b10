package org.knapweedcleat.standins.process;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes the connections to one instance on until they are cut. */
final class PeerProxy {

  private final NetClient client;
  private final NetServer server;
  private final int targetPort;
  private final Set<NetSocket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile boolean disconnected;

  private PeerProxy(Vertx vertx, int targetPort) {
    this.client = vertx.createNetClient();
    this.targetPort = targetPort;
    this.server = vertx.createNetServer().connectHandler(this::accept);
  }

  static PeerProxy create(Vertx vertx, int targetPort) {
    PeerProxy relay = new PeerProxy(vertx, targetPort);
    relay.server.listen(0, "127.0.0.1").await();
    return relay;
  }

  int port() {
    return server.actualPort();
  }

  void disconnect() {
    disconnected = true;
    Future.join(openSockets.stream().map(NetSocket::close).toList()).await();
  }

  void reconnect() {
    disconnected = false;
  }

  private void accept(NetSocket from) {
    if (disconnected) {
      from.close();
      return;
    }
    from.pause();
    client
        .connect(targetPort, "127.0.0.1")
        .onSuccess(to -> connect(from, to))
        .onFailure(failure -> from.close());
  }

  private void connect(NetSocket from, NetSocket to) {
    forward(from, to);
    forward(to, from);
    from.resume();
    if (disconnected) {
      from.close();
    }
  }

  private void forward(NetSocket from, NetSocket to) {
    openSockets.add(from);
    from.closeHandler(
        end -> {
          openSockets.remove(from);
          to.close();
        });
    from.handler(to::write);
  }
}
