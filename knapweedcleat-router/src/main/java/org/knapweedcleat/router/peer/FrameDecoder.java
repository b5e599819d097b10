package org.knapweedcleat.router.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/** Cuts the bytes of one connection into bodies. */
final class FrameDecoder implements Handler<Buffer> {

  private final RecordParser parser = RecordParser.newFixed(Integer.BYTES);
  private final Handler<byte[]> bodyHandler;
  private final Handler<FrameFault> faultHandler;
  private boolean expectsLength = true;
  private boolean closed;
  private long pendingBytes;

  private FrameDecoder(Handler<byte[]> bodies, Handler<FrameFault> faults) {
    this.bodyHandler = bodies;
    this.faultHandler = faults;
    parser.handler(this::onRecord);
  }

  /**
   * Returns a reader.
   *
   * @param bodies gets each whole body
   * @param faults gets the first fault, after which nothing more is read
   * @return the reader
   */
  static FrameDecoder of(Handler<byte[]> bodies, Handler<FrameFault> faults) {
    return new FrameDecoder(bodies, faults);
  }

  @Override
  public void handle(Buffer bytes) {
    if (closed) {
      return;
    }
    pendingBytes += bytes.length();
    parser.handle(bytes);
  }

  /** Reports a frame that the connection's end cut. */
  void endOfStream() {
    if (!closed && (pendingBytes > 0 || !expectsLength)) {
      fail(FrameFault.CUT);
    }
    closed = true;
  }

  private void onRecord(Buffer bytes) {
    if (closed) {
      return;
    }
    pendingBytes -= bytes.length();
    if (expectsLength) {
      onLength(bytes.getInt(0));
      return;
    }
    expectsLength = true;
    parser.fixedSizeMode(Integer.BYTES);
    bodyHandler.handle(bytes.getBytes());
  }

  private void onLength(int bodyBytes) {
    if (bodyBytes > PeerCodec.MAX_BODY_BYTES) {
      fail(FrameFault.OVERSIZED);
      return;
    }
    if (bodyBytes < PeerCodec.HEADER_BYTES) {
      fail(FrameFault.UNDERSIZED);
      return;
    }
    expectsLength = false;
    parser.fixedSizeMode(bodyBytes);
  }

  private void fail(FrameFault fault) {
    closed = true;
    faultHandler.handle(fault);
  }
}
