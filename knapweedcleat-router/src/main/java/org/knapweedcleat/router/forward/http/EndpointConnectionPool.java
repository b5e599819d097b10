package org.knapweedcleat.router.forward.http;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.knapweedcleat.router.forward.codec.RequestHead;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/** Keeps connections to endpoints for more than one request, since new ones cost both sides. */
public final class EndpointConnectionPool {

  /** Longer than a connection takes between regions, shorter than a lost packet's repeat. */
  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  private static final long EVICTION_INTERVAL_MILLIS = 250;

  private final Vertx vertx;
  private final NetClient client;
  private final LongSupplier clock;
  private final MetricRegistry metrics;
  private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();
  private final long evictionTimer;

  private record IdleConnection(EndpointConnection connection, long expiresAtMillis) {}

  private EndpointConnectionPool(Vertx vertx, LongSupplier clock, MetricRegistry metrics) {
    this.vertx = vertx;
    this.clock = clock;
    this.metrics = metrics;
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    this.evictionTimer = vertx.setPeriodic(EVICTION_INTERVAL_MILLIS, timer -> evictExpired());
  }

  /**
   * Returns a pool without connections.
   *
   * @param vertx runs it
   * @param clock gives the time in milliseconds
   * @param metrics counts connections
   * @return the pool
   */
  public static EndpointConnectionPool create(
      Vertx vertx, LongSupplier clock, MetricRegistry metrics) {
    return new EndpointConnectionPool(vertx, clock, metrics);
  }

  /**
   * Sends a request.
   *
   * @param host the endpoint's IP number
   * @param port its TCP port
   * @param head the request's head without headers of the connection
   * @param body its body
   * @param belongs tells whether an answer is one to this request
   * @param listener hears the answer
   * @return the request under way
   */
  public EndpointRequest send(
      String host,
      int port,
      RequestHead head,
      Buffer body,
      Predicate<ResponseHead> belongs,
      ResponseListener listener) {
    String address = host + ":" + port;
    EndpointRequest request = new EndpointRequest(listener);
    EndpointConnection kept = takeIdle(address);
    if (kept != null) {
      request.attach(kept);
      kept.send(head, body, belongs, request, () -> returnToPool(address, kept));
      return request;
    }
    metrics.counter("endpoint.connections.opened").inc();
    client
        .connect(port, host)
        .onSuccess(
            socket -> {
              if (request.isFinished()) {
                socket.close();
                return;
              }
              EndpointConnection connection = EndpointConnection.of((NetSocketInternal) socket);
              request.attach(connection);
              connection.send(
                  head, body, belongs, request, () -> returnToPool(address, connection));
            })
        .onFailure(
            failure -> {
              metrics.counter("endpoint.connections.failed").inc();
              request.onFailure(TransportFailure.NOT_CONNECTED);
            });
    return request;
  }

  /**
   * Tries to connect, in place of connections that may have gone silent; one that comes about is
   * kept for the next request.
   *
   * @param host the endpoint's IP number
   * @param port its TCP port
   * @return succeeds if a connection came about
   */
  public Future<Void> reconnect(String host, int port) {
    String address = host + ":" + port;
    Deque<IdleConnection> silent = idleConnections.remove(address);
    if (silent != null) {
      silent.forEach(one -> one.connection().close());
    }
    return client
        .connect(port, host)
        .map(
            socket -> {
              metrics.counter("endpoint.connections.opened").inc();
              returnToPool(address, EndpointConnection.of((NetSocketInternal) socket));
              return null;
            });
  }

  /** Closes all idle connections. */
  public void close() {
    vertx.cancelTimer(evictionTimer);
    idleConnections.values().forEach(kept -> kept.forEach(one -> one.connection().close()));
    idleConnections.clear();
  }

  private EndpointConnection takeIdle(String address) {
    Deque<IdleConnection> kept = idleConnections.get(address);
    while (kept != null && !kept.isEmpty()) {
      IdleConnection last = kept.pollLast();
      if (last.connection().isOpen() && clock.getAsLong() < last.expiresAtMillis()) {
        return last.connection();
      }
      last.connection().close();
    }
    return null;
  }

  private void returnToPool(String address, EndpointConnection connection) {
    long untilMillis = clock.getAsLong() + connection.idleTimeoutMillis();
    idleConnections
        .computeIfAbsent(address, one -> new ArrayDeque<>())
        .addLast(new IdleConnection(connection, untilMillis));
  }

  private void evictExpired() {
    long nowMillis = clock.getAsLong();
    Iterator<Deque<IdleConnection>> all = idleConnections.values().iterator();
    while (all.hasNext()) {
      Deque<IdleConnection> kept = all.next();
      kept.removeIf(
          one -> {
            boolean ended = !one.connection().isOpen() || nowMillis >= one.expiresAtMillis();
            if (ended) {
              one.connection().close();
            }
            return ended;
          });
      if (kept.isEmpty()) {
        all.remove();
      }
    }
  }
}
