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

  /** Shorter than the timeouts of attempts, after which the endpoint would count as silent. */
  private static final long MAX_WAIT_MILLIS = 200;

  private final Vertx vertx;
  private final NetClient client;
  private final LongSupplier clock;
  private final MetricRegistry metrics;
  private final DecisionLog log;
  private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();
  private final ConnectionSlots slots;
  private final long evictionTimer;
  private long createdConnections;

  private record IdleConnection(EndpointConnection connection, long expiresAtMillis) {}

  private EndpointConnectionPool(
      Vertx vertx,
      LongSupplier clock,
      MetricRegistry metrics,
      DecisionLog log,
      ConnectionLimits limits) {
    this.slots = new ConnectionSlots(limits);
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
   * @param limits bounds the connections to each endpoint
   * @return the pool
   */
  public static EndpointConnectionPool create(
      Vertx vertx,
      LongSupplier clock,
      MetricRegistry metrics,
      DecisionLog log,
      ConnectionLimits limits) {
    return new EndpointConnectionPool(vertx, clock, metrics, log, limits);
  }

  /**
   * Sends a request. If all connections that this instance may open to the endpoint are in use, the
   * request waits for one, and fails with {@link TransportFailure#NO_FREE_CONNECTION} if none
   * becomes free soon.
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
    EndpointRequest request = new EndpointRequest(listener);
    WaitingRequest wanted = new WaitingRequest(host, port, head, body, matcher, request);
    EndpointConnection pooled = takeIdle(wanted.address(), matcher);
    if (pooled != null) {
      sendOn(pooled, wanted);
    } else if (slots.hasFree(wanted.address()) || closeIdle(wanted.address())) {
      connect(wanted);
    } else {
      await(wanted);
    }
    return request;
  }

  private void sendOn(EndpointConnection connection, WaitingRequest wanted) {
    // Not the whole request, whose response an idle connection would keep in memory.
    String address = wanted.address();
    wanted.request().attach(connection);
    connection.send(
        wanted.head(),
        wanted.body(),
        wanted.matcher(),
        wanted.request(),
        () -> release(address, connection));
  }

  private void connect(WaitingRequest wanted) {
    metrics.counter("endpoint.connections.opened").inc();
    slots.recordOpened(wanted.address());
    client
        .connect(wanted.port(), wanted.host())
        .onSuccess(
            socket -> {
              EndpointConnection connection = newConnection(wanted.address(), socket);
              if (wanted.request().isFinished()) {
                connection.close();
              } else {
                sendOn(connection, wanted);
              }
            })
        .onFailure(
            failure -> {
              metrics.counter("endpoint.connections.failed").inc();
              onClosed(wanted.address());
              wanted.request().onFailure(TransportFailure.NOT_CONNECTED);
            });
  }

  private void await(WaitingRequest wanted) {
    metrics.counter("endpoint.connections.awaited").inc();
    slots.enqueue(wanted);
    vertx.setTimer(
        MAX_WAIT_MILLIS,
        timer ->
            slots
                .poll(wanted.address(), one -> one == wanted)
                .ifPresent(
                    late -> {
                      metrics.counter("endpoint.connections.exhausted").inc();
                      late.request().onFailure(TransportFailure.NO_FREE_CONNECTION);
                    }));
  }

  /** Gives a connection to the first request that waits for one, or keeps it idle. */
  private void release(String address, EndpointConnection connection) {
    slots
        .poll(address, one -> connection.isOpen() && connection.canCarry(one.matcher()))
        .ifPresentOrElse(
            waiting -> sendOn(connection, waiting), () -> returnToPool(address, connection));
  }

  private void onClosed(String address) {
    slots.recordClosed(address);
    if (slots.hasFree(address)) {
      slots.poll(address, one -> true).ifPresent(this::connect);
    }
  }

  /** Makes room by closing an idle connection, which cannot carry the request that needs one. */
  private boolean closeIdle(String address) {
    Deque<IdleConnection> queue = idleConnections.get(address);
    if (queue == null || queue.isEmpty()) {
      return false;
    }
    queue.removeFirst().connection().close();
    return true;
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
    slots.recordOpened(address);
    return client
        .connect(port, host)
        .onFailure(failure -> onClosed(address))
        .map(
            socket -> {
              metrics.counter("endpoint.connections.opened").inc();
              release(address, newConnection(address, socket));
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
        new EndpointConnectionLog(address, createdConnections, log, metrics),
        () -> onClosed(address));
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
