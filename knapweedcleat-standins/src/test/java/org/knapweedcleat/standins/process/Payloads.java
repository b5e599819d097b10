package org.knapweedcleat.standins.process;

import java.nio.ByteBuffer;

/** What misbehaving clients send. */
final class Payloads {

  private static final String POST = "POST /notes HTTP/1.1\r\nHost: a\r\n";
  private static final String CHUNKED_POST = POST + "Transfer-Encoding: chunked\r\n\r\n";
  private static final int PIECE_BYTES = 10_000;
  private static final int ODD_LINES = 4_000;

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

  /** A head just under the limit, of header lines without value, that does not end. */
  static ClientLoad.Payload shortHeaderLines() {
    return ClientLoad.Payload.of("GET / HTTP/1.1\r\n", "a:\r\n", ODD_LINES);
  }

  /** One-byte chunks, each with an extension, without an end. */
  static ClientLoad.Payload smallChunks(int chunks) {
    return ClientLoad.Payload.of(CHUNKED_POST, "1;a=b\r\nx\r\n", chunks);
  }

  /** Large chunks without an end. */
  static ClientLoad.Payload largeChunks(int chunks) {
    return ClientLoad.Payload.of(CHUNKED_POST, "10000\r\n" + "x".repeat(0x10000) + "\r\n", chunks);
  }

  /** Trailer lines without an end, just under the limit of a head. */
  static ClientLoad.Payload endlessTrailers() {
    return ClientLoad.Payload.of(CHUNKED_POST + "1\r\nx\r\n0\r\n", "a:\r\n", ODD_LINES);
  }

  /** Complete requests on one connection whose responses are not read. */
  static ClientLoad.Payload unreadResponses(String path, int requests) {
    return ClientLoad.Payload.of("", "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n", requests)
        .withoutReading();
  }

  /** Nothing. */
  static ClientLoad.Payload nothing() {
    return ClientLoad.Payload.of("", "", 0);
  }
}
