package org.knapweedcleat.standins.process;

import java.nio.ByteBuffer;

/** What misbehaving clients send. */
final class Payloads {

  private static final String POST = "POST /notes HTTP/1.1\r\nHost: a\r\n";
  private static final int PIECE_BYTES = 10_000;

  private Payloads() {}

  /** A body with a declared length that stops short. */
  static ClientLoad.Payload partialBody(int sentBytes, int declaredBytes) {
    return ClientLoad.Payload.of(
        POST + "Content-Length: " + declaredBytes + "\r\n\r\n",
        "x".repeat(PIECE_BYTES),
        sentBytes / PIECE_BYTES);
  }

  /** A frame of the protocol between instances that stops short. */
  static ClientLoad.Payload partialFrame(int sentBytes) {
    byte[] length = ByteBuffer.allocate(Integer.BYTES).putInt(sentBytes + 1).array();
    return new ClientLoad.Payload(
        length, new byte[PIECE_BYTES], sentBytes / PIECE_BYTES, new byte[0], true);
  }
}
