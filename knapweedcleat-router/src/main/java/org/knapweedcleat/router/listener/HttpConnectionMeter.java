package org.knapweedcleat.router.listener;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.knapweedcleat.core.listener.CloseReason;
import org.knapweedcleat.core.listener.ConnectionUsage;
import org.knapweedcleat.router.lifecycle.OutOfMemoryExit;

/** Measures what one HTTP connection holds, and refuses or closes it. */
final class HttpConnectionMeter implements ListenerGuard.GuardedConnection {

  /** The name that Vert.x gives to the decoder. */
  private static final String DECODER = "httpDecoder";

  private final ListenerGuard guard;
  private final ChannelHandlerContext context;
  private final HttpRequestLedger ledger;
  private final HttpUsage usage = new HttpUsage();
  private long number;
  private long movedBytes;
  private long lastPendingBytes;

  private HttpConnectionMeter(
      ListenerGuard guard, ChannelHandlerContext context, HttpRequestLedger ledger) {
    this.guard = guard;
    this.context = context;
    this.ledger = ledger;
  }

  /**
   * Starts to measure a connection.
   *
   * @param guard decides about the connection
   * @param context the context of the handler behind the HTTP codec
   * @param maxHeaderLines the maximum number of header lines
   * @param maxDiscardBytes how much of a body that has been refused is discarded
   */
  static void attach(
      ListenerGuard guard,
      ChannelHandlerContext context,
      int maxHeaderLines,
      long maxDiscardBytes) {
    HttpConnectionMeter meter =
        new HttpConnectionMeter(
            guard, context, new HttpRequestLedger(maxHeaderLines, maxDiscardBytes));
    meter.number = guard.open(meter, context.executor());
    if (meter.number < 0) {
      return;
    }
    context.pipeline().addFirst("received-bytes", meter.new ReceivedBytes());
    context.pipeline().addBefore(context.name(), "http-usage", meter.usage);
  }

  @Override
  public ConnectionUsage usage() {
    ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
    long pendingBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    long moved = movedBytes + Math.max(0, lastPendingBytes - pendingBytes);
    movedBytes = 0;
    lastPendingBytes = pendingBytes;
    return ledger.usage(pendingBytes, moved);
  }

  @Override
  public void evict(CloseReason reason) {
    if (ledger.mayRefuse()) {
      context
          .pipeline()
          .firstContext()
          .writeAndFlush(Unpooled.copiedBuffer(HttpRefusals.of(reason), StandardCharsets.US_ASCII));
    }
    closeNow();
  }

  /**
   * Closes without the handlers of Vert.x, which wait until pending responses are written. Removes
   * the decoder, since a closed channel is kept until all ready channels have been read, and many
   * of them with the lines that they hold would fill the heap.
   */
  private void closeNow() {
    usage.discard();
    context.pipeline().firstContext().close();
    if (context.pipeline().get(DECODER) != null) {
      context.pipeline().remove(DECODER);
    }
  }

  private void report() {
    if (ledger.exceedsDiscardLimit()) {
      closeNow();
      return;
    }
    if (ledger.exceedsPipeline()) {
      guard.evictNow(number, CloseReason.PIPELINE);
      return;
    }
    guard.update(number, usage());
  }

  /** Stands before the codec. */
  private final class ReceivedBytes extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext receiver, Object message) {
      if (!(message instanceof ByteBuf bytes)) {
        receiver.fireChannelRead(message);
        return;
      }
      if (!context.channel().isOpen()) {
        ReferenceCountUtil.release(message);
        return;
      }
      movedBytes += bytes.readableBytes();
      ledger.beginRead(bytes);
      receiver.fireChannelRead(message);
      ledger.endRead();
      report();
    }

    @Override
    public void channelInactive(ChannelHandlerContext receiver) {
      guard.closed(number);
      receiver.fireChannelInactive();
    }

    @Override
    @SuppressWarnings("deprecation") // Deprecated only in the superinterface of all handlers.
    public void exceptionCaught(ChannelHandlerContext receiver, Throwable failure) {
      OutOfMemoryExit.exitIfOutOfMemory(failure);
      receiver.fireExceptionCaught(failure);
    }
  }

  /** Stands behind the codec. */
  private final class HttpUsage extends ChannelDuplexHandler {

    private boolean refused;

    void discard() {
      refused = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext receiver, Object message) {
      if (message instanceof HttpRequest request) {
        ledger.onHead(request.headers().size());
        refused |= ledger.exceedsHeaderLines(request.headers().size());
      }
      if (refused) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof HttpContent content) {
        ledger.onContent(content.content().readableBytes());
      }
      if (message instanceof LastHttpContent) {
        ledger.onRequestEnd();
      }
      receiver.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext sender, Object message, ChannelPromise promise) {
      boolean informational =
          message instanceof HttpResponse response
              && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (!informational && message instanceof HttpResponse) {
        ledger.onResponseStart();
      }
      if (!informational && message instanceof LastHttpContent) {
        ledger.onResponseEnd();
      }
      sender.write(message, promise);
    }

    @Override
    public void flush(ChannelHandlerContext sender) {
      sender.flush();
      report();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext receiver) {
      report();
      receiver.fireChannelWritabilityChanged();
    }

    @Override
    @SuppressWarnings("deprecation") // Deprecated only in the superinterface of all handlers.
    public void exceptionCaught(ChannelHandlerContext receiver, Throwable failure) {
      OutOfMemoryExit.exitIfOutOfMemory(failure);
      receiver.fireExceptionCaught(failure);
    }
  }
}
