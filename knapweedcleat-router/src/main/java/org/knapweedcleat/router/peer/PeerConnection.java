package org.knapweedcleat.router.peer;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.lifecycle.OutOfMemoryExit;

/** Reads and writes messages on one open socket; the first message read must be a hello. */
final class PeerConnection {

  private final NetSocket socket;
  private final PeerCodec codec;
  private final MetricRegistry metrics;
  private final FrameDecoder decoder;
  private Consumer<Hello> helloHandler = hello -> {};
  private Consumer<PeerMessage> messageHandler = message -> {};
  private Runnable closeHandler = () -> {};
  private ReadHandler readHandler = (bytes, pendingBytes) -> {};
  private Hello remote;

  /** Receives the size of each read. */
  @FunctionalInterface
  interface ReadHandler {

    /** Receives the bytes that were read, and those of a message that is not complete. */
    void onRead(int bytes, long pendingBytes);
  }

  private PeerConnection(NetSocket socket, PeerCodec codec, MetricRegistry metrics) {
    this.socket = socket;
    this.codec = codec;
    this.metrics = metrics;
    this.decoder = FrameDecoder.of(this::onBody, this::reject);
  }

  /**
   * Creates a connection on an open socket and installs the socket's handlers.
   *
   * @param socket the socket
   * @param codec encodes and decodes messages
   * @param metrics counts messages and bytes read, written and rejected
   * @return the connection
   */
  static PeerConnection of(NetSocket socket, PeerCodec codec, MetricRegistry metrics) {
    PeerConnection connection = new PeerConnection(socket, codec, metrics);
    socket.handler(connection::onBytes);
    socket.exceptionHandler(
        failure -> {
          OutOfMemoryExit.exitIfOutOfMemory(failure);
          socket.close();
        });
    socket.closeHandler(ignored -> connection.onSocketClosed());
    return connection;
  }

  void onHello(Consumer<Hello> handler) {
    helloHandler = handler;
  }

  void onMessage(Consumer<PeerMessage> handler) {
    messageHandler = handler;
  }

  /** Sets the handler of each read, which is called after messages have been handled. */
  void onRead(ReadHandler handler) {
    readHandler = handler;
  }

  void onClose(Runnable handler) {
    closeHandler = handler;
  }

  /** Returns the peer's hello, or null if it has not arrived yet. */
  Hello remote() {
    return remote;
  }

  void send(PeerMessage message) {
    send(PeerFrame.of(codec, message));
  }

  void send(PeerFrame frame) {
    Buffer bytes = frame.bytes();
    metrics.counter("peer.bytes.sent").inc(bytes.length());
    metrics.counter("peer.messages.sent").inc();
    socket.write(bytes);
  }

  /** Returns whether the write queue is full and new messages should be dropped. */
  boolean isBackedUp() {
    return socket.writeQueueFull();
  }

  void close() {
    socket.close();
  }

  private void onBytes(Buffer bytes) {
    metrics.counter("peer.bytes.received").inc(bytes.length());
    decoder.handle(bytes);
    readHandler.onRead(bytes.length(), decoder.pendingBytes());
  }

  private void onSocketClosed() {
    decoder.endOfStream();
    closeHandler.run();
  }

  private void onBody(byte[] body) {
    codec.decodeBody(body).peek(this::onDecoded).peekLeft(this::reject);
  }

  private void onDecoded(PeerMessage message) {
    metrics.counter("peer.messages.received").inc();
    if (remote != null) {
      messageHandler.accept(message);
      return;
    }
    if (!(message instanceof Hello hello)) {
      reject(FrameFault.NO_HELLO);
      return;
    }
    remote = hello;
    helloHandler.accept(hello);
  }

  private void reject(FrameFault fault) {
    metrics.counter(fault.metricName()).inc();
    socket.close();
  }
}
