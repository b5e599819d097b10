package org.knapweedcleat.router.forward.http;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.LongSupplier;
import org.knapweedcleat.router.forward.codec.RequestHead;
import org.knapweedcleat.router.forward.log.DecisionLog;

/** Pools connections to endpoints, since opening one costs both sides. */
public final class EndpointConnectionPool {

  /** Longer than connecting across regions takes, shorter than TCP's first retransmission. */
  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  private static final long EVICTION_INTERVAL_MILLIS = 250;

  private final Vertx vertx;
  private final NetClient client;
  private final LongSupplier clock;
  private final MetricRegistry metrics;
  private final DecisionLog log;
  private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();
  private final long evictionTimer;
  private long createdConnections;

  private record IdleConnection(EndpointConnection connection, long expiresAtMillis) {}

  private EndpointConnectionPool(
      Vertx vertx, LongSupplier clock, MetricRegistry metrics, DecisionLog log) {
    this.vertx = vertx;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    this.evictionTimer = vertx.setPeriodic(EVICTION_INTERVAL_MILLIS, timer -> evictExpired());
  }

  /**
   * Returns a pool without connections.
   *
   * @param vertx runs it
   * @param clock supplies the time in milliseconds
   * @param metrics counts connections
   * @param log records what connections receive that is no response to their request
   * @return the pool
   */
  public static EndpointConnectionPool create(
      Vertx vertx, LongSupplier clock, MetricRegistry metrics, DecisionLog log) {
    return new EndpointConnectionPool(vertx, clock, metrics, log);
  }

  /**
   * Sends a request.
   *
   * @param host the endpoint's IP address
   * @param port the endpoint's TCP port
   * @param head the request's head without hop-by-hop headers
   * @param body the request's body
   * @param matcher tells whether a response belongs to this request
   * @param listener receives the response
   * @return the pending request
   */
  public EndpointRequest send(
      String host,
      int port,
      RequestHead head,
      Buffer body,
      ResponseMatcher matcher,
      ResponseListener listener) {
    String address = host + ":" + port;
    EndpointRequest request = new EndpointRequest(listener);
    EndpointConnection pooled = takeIdle(address, matcher);
    if (pooled != null) {
      request.attach(pooled);
      pooled.send(head, body, matcher, request, () -> returnToPool(address, pooled));
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
              EndpointConnection connection = newConnection(address, socket);
              request.attach(connection);
              connection.send(
                  head, body, matcher, request, () -> returnToPool(address, connection));
            })
        .onFailure(
            failure -> {
              metrics.counter("endpoint.connections.failed").inc();
              request.onFailure(TransportFailure.NOT_CONNECTED);
            });
    return request;
  }

  /**
   * Closes the endpoint's idle connections, which may be dead, and opens a new one, which is kept
   * for the next request.
   *
   * @param host the endpoint's IP address
   * @param port the endpoint's TCP port
   * @return succeeds if the connection was established
   */
  public Future<Void> reconnect(String host, int port) {
    String address = host + ":" + port;
    Deque<IdleConnection> stale = idleConnections.remove(address);
    if (stale != null) {
      stale.forEach(entry -> entry.connection().close());
    }
    return client
        .connect(port, host)
        .map(
            socket -> {
              metrics.counter("endpoint.connections.opened").inc();
              returnToPool(address, newConnection(address, socket));
              return null;
            });
  }

  /** Closes all idle connections. */
  public void close() {
    vertx.cancelTimer(evictionTimer);
    idleConnections.values().forEach(queue -> queue.forEach(entry -> entry.connection().close()));
    idleConnections.clear();
  }

  private EndpointConnection takeIdle(String address, ResponseMatcher matcher) {
    Deque<IdleConnection> queue = idleConnections.getOrDefault(address, new ArrayDeque<>());
    Iterator<IdleConnection> newestFirst = queue.descendingIterator();
    while (newestFirst.hasNext()) {
      IdleConnection entry = newestFirst.next();
      EndpointConnection connection = entry.connection();
      if (!connection.isOpen() || clock.getAsLong() >= entry.expiresAtMillis()) {
        newestFirst.remove();
        connection.close();
      } else if (connection.canCarry(matcher)) {
        newestFirst.remove();
        return connection;
      }
    }
    return null;
  }

  private EndpointConnection newConnection(String address, NetSocket socket) {
    createdConnections++;
    return EndpointConnection.of(
        (NetSocketInternal) socket,
        new EndpointConnectionLog(address, createdConnections, log, metrics));
  }

  private void returnToPool(String address, EndpointConnection connection) {
    long expiresAtMillis = clock.getAsLong() + connection.idleTimeoutMillis();
    idleConnections
        .computeIfAbsent(address, key -> new ArrayDeque<>())
        .addLast(new IdleConnection(connection, expiresAtMillis));
  }

  private void evictExpired() {
    long nowMillis = clock.getAsLong();
    Iterator<Deque<IdleConnection>> queues = idleConnections.values().iterator();
    while (queues.hasNext()) {
      Deque<IdleConnection> queue = queues.next();
      queue.removeIf(
          entry -> {
            boolean expired = !entry.connection().isOpen() || nowMillis >= entry.expiresAtMillis();
            if (expired) {
              entry.connection().close();
            }
            return expired;
          });
      if (queue.isEmpty()) {
        queues.remove();
      }
    }
  }
}
