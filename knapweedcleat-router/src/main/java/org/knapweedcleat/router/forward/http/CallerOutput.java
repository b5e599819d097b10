package org.knapweedcleat.router.forward.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.internal.net.NetSocketInternal;
import java.util.List;
import org.knapweedcleat.router.forward.codec.HeaderField;

/** The responses on a connection, and what of them its caller has not read. */
final class CallerOutput {

  /** Learns what becomes of responses. */
  interface Listener {

    /** Called when a part with content was queued, or was written to the socket. */
    void onUnreadBytesChanged(boolean isWritten);

    /** Called when a response was written to its end, or could not be written. */
    void onResponseWritten(boolean isComplete);
  }

  private final NetSocketInternal socket;
  private final Listener listener;
  private int unwrittenResponses;
  private long unreadBytes;

  CallerOutput(NetSocketInternal socket, Listener listener) {
    this.socket = socket;
    this.listener = listener;
  }

  static HttpResponse newResponse(int status, List<HeaderField> headers) {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    HttpHeaderMapper.addAll(head.headers(), headers);
    return head;
  }

  /** Tells whether the end of a response is still to be written. */
  boolean isWriting() {
    return unwrittenResponses > 0;
  }

  long unreadBytes() {
    return unreadBytes;
  }

  /** Writes a head, which has no content bytes, or a part of a body. */
  void write(Object message, int bytes) {
    unreadBytes += bytes;
    socket.writeMessage(message).onComplete(written -> onWritten(bytes));
    if (bytes > 0) {
      listener.onUnreadBytesChanged(false);
    }
  }

  private void onWritten(int bytes) {
    if (bytes > 0) {
      unreadBytes -= bytes;
      listener.onUnreadBytesChanged(true);
    }
  }

  void writeEnd() {
    unwrittenResponses++;
    socket
        .writeMessage(LastHttpContent.EMPTY_LAST_CONTENT)
        .onComplete(
            written -> {
              unwrittenResponses--;
              listener.onResponseWritten(written.succeeded());
            });
  }

  boolean isWriteQueueFull() {
    return socket.writeQueueFull();
  }

  void onWriteQueueDrained(Runnable resume) {
    socket.drainHandler(ignored -> resume.run());
  }

  /** Ends the sending side, so that the caller sees the end while the rest it sends is read. */
  void shutdown() {
    if (socket.channelHandlerContext().channel() instanceof DuplexChannel channel) {
      channel.shutdownOutput();
    }
  }

  /** Lets the caller see that a response without length and chunks is not complete. */
  void resetAtClose() {
    socket.channelHandlerContext().channel().config().setOption(ChannelOption.SO_LINGER, 0);
  }
}
