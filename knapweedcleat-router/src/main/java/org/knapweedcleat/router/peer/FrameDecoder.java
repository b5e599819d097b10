package org.knapweedcleat.router.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/** Splits the byte stream of one connection into frame bodies. */
final class FrameDecoder implements Handler<Buffer> {

  private final RecordParser parser = RecordParser.newFixed(Integer.BYTES);
  private final Handler<byte[]> bodyHandler;
  private final Handler<FrameFault> faultHandler;
  private boolean expectsLength = true;
  private boolean closed;
  private long pendingBytes;

  private FrameDecoder(Handler<byte[]> bodyHandler, Handler<FrameFault> faultHandler) {
    this.bodyHandler = bodyHandler;
    this.faultHandler = faultHandler;
    parser.handler(this::onRecord);
  }

  /**
   * Creates a decoder.
   *
   * @param bodyHandler receives each complete body
   * @param faultHandler receives the first fault; all further bytes are ignored
   * @return the decoder
   */
  static FrameDecoder of(Handler<byte[]> bodyHandler, Handler<FrameFault> faultHandler) {
    return new FrameDecoder(bodyHandler, faultHandler);
  }

  @Override
  public void handle(Buffer bytes) {
    if (closed) {
      return;
    }
    pendingBytes += bytes.length();
    parser.handle(bytes);
  }

  /** Returns how many bytes of an incomplete frame are held. */
  long pendingBytes() {
    return closed ? 0 : pendingBytes;
  }

  /** Reports a fault if the stream ended within a frame. */
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
