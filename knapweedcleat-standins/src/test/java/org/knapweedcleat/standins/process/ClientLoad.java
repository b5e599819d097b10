package org.knapweedcleat.standins.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Connections to one listener that each send a payload and then stay open without reading, until
 * the listener or this object closes them. One thread serves all of them.
 */
final class ClientLoad implements AutoCloseable {

  private static final long SELECT_MILLIS = 50;
  private static final long QUIET_SECONDS = 2;
  private static final int CLOSE_CHECK_BYTES = 256;

  private final Selector selector;
  private final List<Client> clients = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "client-load");
  private volatile boolean stopped;
  private volatile long written;

  private ClientLoad(Selector selector) {
    this.selector = selector;
  }

  /**
   * Starts the connections.
   *
   * @param port the port of the listener
   * @param connections the number of connections
   * @param payload what each connection sends
   * @return the running load
   */
  static ClientLoad start(int port, int connections, Payload payload) {
    try {
      ClientLoad load = new ClientLoad(Selector.open());
      for (int i = 0; i < connections; i++) {
        load.connect(port, payload);
      }
      load.thread.start();
      return load;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns how many connections have sent everything or were closed by the listener. */
  int finished() {
    return (int) clients.stream().filter(client -> client.finished).count();
  }

  /** Waits until all connections have finished or the listener reads nothing any more. */
  void awaitQuiet() {
    long quietSinceNanos = System.nanoTime();
    long lastWritten = -1;
    while (finished() < clients.size()
        && System.nanoTime() - quietSinceNanos < TimeUnit.SECONDS.toNanos(QUIET_SECONDS)) {
      Await.pause(SELECT_MILLIS);
      if (written != lastWritten) {
        lastWritten = written;
        quietSinceNanos = System.nanoTime();
      }
    }
  }

  /** Returns how many connections the listener has closed. */
  int closed() {
    return (int) clients.stream().filter(client -> client.closed).count();
  }

  @Override
  public void close() {
    stopped = true;
    selector.wakeup();
    try {
      thread.join();
      for (Client client : clients) {
        client.channel.close();
      }
      selector.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void connect(int port, Payload payload) throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.configureBlocking(false);
    channel.connect(new InetSocketAddress("127.0.0.1", port));
    Client client = new Client(channel, payload);
    clients.add(client);
    channel.register(selector, SelectionKey.OP_CONNECT, client);
  }

  private void run() {
    while (!stopped) {
      try {
        selector.select(SELECT_MILLIS);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
      while (keys.hasNext()) {
        serve(keys.next());
        keys.remove();
      }
    }
  }

  private void serve(SelectionKey key) {
    Client client = (Client) key.attachment();
    written += client.takeWritten();
    try {
      if (key.isConnectable()) {
        client.channel.finishConnect();
        key.interestOps(SelectionKey.OP_WRITE);
      } else if (key.isWritable() && client.write()) {
        key.interestOps(client.payload.readsResponse() ? SelectionKey.OP_READ : 0);
      } else if (key.isReadable() && client.read()) {
        client.end(key);
      }
    } catch (IOException e) {
      client.end(key);
    }
  }

  /**
   * What a connection sends: a head, then a part many times, then a tail.
   *
   * @param head sent once
   * @param part sent repeatedly
   * @param times how often the part is sent
   * @param tail sent once
   * @param readsResponse whether the connection reads what the listener sends
   */
  record Payload(byte[] head, byte[] part, int times, byte[] tail, boolean readsResponse) {

    static Payload of(String head, String part, int times) {
      return new Payload(head.getBytes(), part.getBytes(), times, new byte[0], true);
    }

    Payload withTail(String end) {
      return new Payload(head, part, times, end.getBytes(), readsResponse);
    }

    Payload withoutReading() {
      return new Payload(head, part, times, tail, false);
    }
  }

  private static final class Client {

    private final SocketChannel channel;
    private final Payload payload;
    private ByteBuffer pending;
    private int sentParts;
    private long writtenBytes;
    private boolean sentTail;
    private volatile boolean finished;
    private volatile boolean closed;

    Client(SocketChannel channel, Payload payload) {
      this.channel = channel;
      this.payload = payload;
      this.pending = ByteBuffer.wrap(payload.head());
    }

    /** Writes as much as the socket takes; returns whether everything was sent. */
    boolean write() throws IOException {
      while (true) {
        while (pending.hasRemaining()) {
          int count = channel.write(pending);
          if (count == 0) {
            return false;
          }
          writtenBytes += count;
        }
        if (sentParts < payload.times()) {
          sentParts++;
          pending = ByteBuffer.wrap(payload.part());
        } else if (!sentTail) {
          sentTail = true;
          pending = ByteBuffer.wrap(payload.tail());
        } else {
          finished = true;
          return true;
        }
      }
    }

    long takeWritten() {
      long bytes = writtenBytes;
      writtenBytes = 0;
      return bytes;
    }

    /** Discards received bytes; returns whether the listener has closed the connection. */
    boolean read() throws IOException {
      return channel.read(ByteBuffer.allocate(CLOSE_CHECK_BYTES)) < 0;
    }

    void end(SelectionKey key) {
      key.cancel();
      finished = true;
      closed = true;
    }
  }
}
