package org.knapweedcleat.router.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Passes received bytes to the decoder in slices, as long as its owner permits, and stops reading
 * the socket otherwise. The memory that a slice turns into is thus known before the next one.
 */
final class InboundGate extends ChannelDuplexHandler {

  /** A slice of the shortest header lines turns into about 0.2 MB. */
  private static final int SLICE_BYTES = 4_096;

  /** Decides on reading and follows it. */
  interface Owner {

    /** Tells whether the next slice is to be passed on. */
    boolean mayFeed();

    void onArrival();

    /** Called before a slice is passed on. */
    void beforeSlice(ByteBuf slice);

    /** Called after a slice was passed on. */
    void afterSlice();

    /** Called after all slices that may be passed on. */
    void afterFeeding();

    /** Called when more bytes were discarded than permitted. */
    void onDiscardLimit();
  }

  private enum State {
    FEEDING,
    DISCARDING,
    CLOSED
  }

  private final Owner owner;
  private final Deque<ByteBuf> pending = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private State state = State.FEEDING;
  private int pendingBytes;
  private long discardableBytes;
  private boolean feeding;
  private boolean reading = true;

  InboundGate(Owner owner) {
    this.owner = owner;
  }

  /** Returns the number of bytes that were read and not passed on. */
  int pendingBytes() {
    return pendingBytes;
  }

  /** Tells whether slices are being passed on. */
  boolean isFeeding() {
    return feeding;
  }

  /** Tells whether the socket is not read, so that more may have been sent. */
  boolean isHeld() {
    return !reading && state == State.FEEDING;
  }

  /** Continues after the owner permits slices again. */
  void resume() {
    if (!feeding && isHeld()) {
      feed();
      context.fireChannelReadComplete();
    }
  }

  /** Discards all that is received from now on, up to a limit. */
  void discard(long maxBytes) {
    if (state == State.FEEDING) {
      state = State.DISCARDING;
      discardableBytes = maxBytes - pendingBytes;
      releasePending();
      setReading(true);
    }
  }

  /** Reads nothing any more. */
  void stop() {
    state = State.CLOSED;
    releasePending();
    setReading(false);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext removed) {
    releasePending();
  }

  @Override
  public void read(ChannelHandlerContext current) {
    // The decoder asks for more after an incomplete line, also while reading is stopped.
    if (reading) {
      current.read();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext current, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (state == State.FEEDING) {
      owner.onArrival();
      pending.add(bytes);
      pendingBytes += bytes.readableBytes();
      feed();
      return;
    }
    discardableBytes -= bytes.readableBytes();
    ReferenceCountUtil.release(bytes);
    if (state == State.DISCARDING && discardableBytes < 0) {
      stop();
      owner.onDiscardLimit();
    }
  }

  private void feed() {
    if (feeding) {
      return;
    }
    feeding = true;
    try {
      while (state == State.FEEDING && !pending.isEmpty() && owner.mayFeed()) {
        feedSlice();
      }
    } finally {
      feeding = false;
    }
    if (state == State.FEEDING) {
      setReading(pending.isEmpty() && owner.mayFeed());
    }
    owner.afterFeeding();
  }

  private void feedSlice() {
    ByteBuf first = pending.peek();
    int count = Math.min(SLICE_BYTES, first.readableBytes());
    // A copy, since the decoder keeps the rest of a line and with it the whole buffer.
    byte[] copy = new byte[count];
    first.readBytes(copy);
    pendingBytes -= count;
    if (!first.isReadable()) {
      pending.remove().release();
    }
    ByteBuf slice = Unpooled.wrappedBuffer(copy);
    owner.beforeSlice(slice);
    context.fireChannelRead(slice);
    owner.afterSlice();
  }

  private void setReading(boolean read) {
    if (reading != read) {
      reading = read;
      context.channel().config().setAutoRead(read);
    }
  }

  private void releasePending() {
    pending.forEach(ReferenceCountUtil::release);
    pending.clear();
    pendingBytes = 0;
  }
}
