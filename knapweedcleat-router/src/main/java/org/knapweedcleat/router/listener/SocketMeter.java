package org.knapweedcleat.router.listener;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import org.knapweedcleat.core.listener.CloseReason;
import org.knapweedcleat.core.listener.ConnectionUsage;

/** Measures what a connection that carries frames holds, and closes it. */
public final class SocketMeter implements ListenerGuard.GuardedConnection {

  /** Buffers double as they grow, and the old and the new one exist while they are copied. */
  private static final int BUFFER_FACTOR = 2;

  private final ListenerGuard guard;
  private final ChannelHandlerContext context;
  private long number;
  private long movedBytes;
  private long incompleteBytes;
  private long lastPendingBytes;
  private boolean greeted;

  private SocketMeter(ListenerGuard guard, ChannelHandlerContext context) {
    this.guard = guard;
    this.context = context;
  }

  /**
   * Starts to measure a connection.
   *
   * @param guard decides about it
   * @param socket the connection
   * @return the meter
   */
  public static SocketMeter open(ListenerGuard guard, NetSocket socket) {
    ChannelHandlerContext context = ((NetSocketInternal) socket).channelHandlerContext();
    SocketMeter meter = new SocketMeter(guard, context);
    meter.number = guard.open(meter, context.executor());
    return meter;
  }

  /**
   * Tells whether the connection was refused and has to be closed.
   *
   * @return true if it is over the limit
   */
  public boolean isRefused() {
    return number < 0;
  }

  /**
   * Records a read.
   *
   * @param bytes the number of bytes that were read
   * @param frameBytes the bytes held of a frame that is not complete
   * @param hasGreeted whether the client has sent its first message
   */
  public void onRead(int bytes, long frameBytes, boolean hasGreeted) {
    movedBytes += bytes;
    incompleteBytes = frameBytes;
    greeted = hasGreeted;
    guard.update(number, usage());
  }

  /** Records that the connection was closed. */
  public void closed() {
    guard.closed(number);
  }

  @Override
  public ConnectionUsage usage() {
    ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
    long pendingBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    long moved = movedBytes + Math.max(0, lastPendingBytes - pendingBytes);
    movedBytes = 0;
    lastPendingBytes = pendingBytes;
    return new ConnectionUsage(
        incompleteBytes * BUFFER_FACTOR + pendingBytes,
        moved,
        !greeted || incompleteBytes > 0 || pendingBytes > 0,
        !greeted,
        0);
  }

  @Override
  public void evict(CloseReason reason) {
    context.pipeline().firstContext().close();
  }
}
