package org.knapweedcleat.router.peer;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import org.knapweedcleat.core.message.PeerMessage;

/** Reads and writes the messages of one open socket; the first one read has to be a hello. */
final class PeerConnection {

  private final NetSocket socket;
  private final PeerCodec codec;
  private final MetricRegistry metrics;
  private final FrameDecoder reader;
  private Consumer<Hello> helloHandler = hello -> {};
  private Consumer<PeerMessage> messageHandler = message -> {};
  private Runnable closeHandler = () -> {};
  private Hello remote;

  private PeerConnection(NetSocket socket, PeerCodec codec, MetricRegistry metrics) {
    this.socket = socket;
    this.codec = codec;
    this.metrics = metrics;
    this.reader = FrameDecoder.of(this::onBody, this::reject);
  }

  /**
   * Takes over an open socket.
   *
   * @param socket the socket
   * @param codec reads and writes bodies
   * @param metrics counts what is read, written and rejected
   * @return the connection
   */
  static PeerConnection of(NetSocket socket, PeerCodec codec, MetricRegistry metrics) {
    PeerConnection connection = new PeerConnection(socket, codec, metrics);
    socket.handler(connection::onBytes);
    socket.exceptionHandler(failure -> socket.close());
    socket.closeHandler(ignored -> connection.onSocketClosed());
    return connection;
  }

  void onHello(Consumer<Hello> handler) {
    helloHandler = handler;
  }

  void onMessage(Consumer<PeerMessage> handler) {
    messageHandler = handler;
  }

  void onClose(Runnable handler) {
    closeHandler = handler;
  }

  /** Returns what the other side said of itself, null before its hello. */
  Hello remote() {
    return remote;
  }

  void send(PeerMessage message) {
    Buffer frame = codec.encodeFrame(message);
    metrics.counter("peer.bytes.sent").inc(frame.length());
    metrics.counter("peer.messages.sent").inc();
    socket.write(frame);
  }

  /** Tells whether so much is waiting to be written that new messages are better dropped. */
  boolean isBackedUp() {
    return socket.writeQueueFull();
  }

  void close() {
    socket.close();
  }

  private void onBytes(Buffer bytes) {
    metrics.counter("peer.bytes.received").inc(bytes.length());
    reader.handle(bytes);
  }

  private void onSocketClosed() {
    reader.endOfStream();
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
