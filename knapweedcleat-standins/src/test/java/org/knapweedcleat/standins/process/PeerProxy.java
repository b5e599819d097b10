package org.knapweedcleat.standins.process;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards peer connections to one instance and can partition it from its peers. */
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

  private void accept(NetSocket source) {
    if (disconnected) {
      source.close();
      return;
    }
    source.pause();
    client
        .connect(targetPort, "127.0.0.1")
        .onSuccess(target -> connect(source, target))
        .onFailure(failure -> source.close());
  }

  private void connect(NetSocket source, NetSocket target) {
    forward(source, target);
    forward(target, source);
    source.resume();
    if (disconnected) {
      source.close();
    }
  }

  private void forward(NetSocket source, NetSocket target) {
    openSockets.add(source);
    source.closeHandler(
        end -> {
          openSockets.remove(source);
          target.close();
        });
    source.handler(target::write);
  }
}
