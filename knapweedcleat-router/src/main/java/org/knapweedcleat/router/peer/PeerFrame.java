package org.knapweedcleat.router.peer;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.core.message.PeerMessage;

/** A message that is encoded when it is first written, and only once for all its recipients. */
final class PeerFrame {

  private final PeerCodec codec;
  private final PeerMessage message;
  private Buffer bytes;

  private PeerFrame(PeerCodec codec, PeerMessage message) {
    this.codec = codec;
    this.message = message;
  }

  /**
   * Returns the frame of a message.
   *
   * @param codec encodes the message
   * @param message the message, which must not change until it is written
   * @return the frame, which is not encoded yet
   */
  static PeerFrame of(PeerCodec codec, PeerMessage message) {
    return new PeerFrame(codec, message);
  }

  /** Returns the length and the body of the message; must not be changed. */
  Buffer bytes() {
    if (bytes == null) {
      bytes = codec.encodeFrame(message);
    }
    return bytes;
  }
}
