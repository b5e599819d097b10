package org.knapweedcleat.router.forward.http;

import io.netty.channel.Channel;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import java.util.Optional;
import org.knapweedcleat.core.config.InetAddressPort;

/**
 * Accepts connections in batches, each after the ones before have been taken over. Otherwise the
 * thread that accepts opens hundreds of descriptors before the event loop refuses the first one.
 */
final class AcceptPacer {

  private Optional<Channel> listener = Optional.empty();

  private AcceptPacer() {}

  static AcceptPacer create() {
    return new AcceptPacer();
  }

  /**
   * Connects to the listening server once, since its channel is known from an accepted connection
   * only.
   *
   * @return succeeds in any case; without the connection, the first one of a caller is used
   */
  Future<Void> prepare(Vertx vertx, InetAddressPort address, int port) {
    return vertx
        .createNetClient()
        .connect(port, address.host())
        .compose(socket -> socket.close())
        .otherwiseEmpty();
  }

  /** Accepts the next batch after a connection was taken over. */
  void onTakenOver(NetSocketInternal socket) {
    if (listener.isEmpty()) {
      Channel parent = socket.channelHandlerContext().channel().parent();
      parent.config().setAutoRead(false);
      listener = Optional.of(parent);
    }
    acceptNext();
  }

  /** Accepts the next batch; called from time to time, too, in case that accepting has failed. */
  void acceptNext() {
    listener.ifPresent(Channel::read);
  }
}
