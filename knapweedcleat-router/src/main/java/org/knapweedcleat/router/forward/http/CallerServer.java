package org.knapweedcleat.router.forward.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.core.directory.CallerBounds;

/** Takes the connections of callers. */
public final class CallerServer {

  private static final long TIMEOUT_CHECK_MILLIS = 500;

  /** Connections that wait to be taken; a burst of new callers fits. */
  private static final int ACCEPT_BACKLOG = 1_024;

  private final Vertx vertx;
  private final LongSupplier clock;
  private final Supplier<CallerBounds> bounds;
  private final CallerHandler handler;
  private final BiConsumer<Integer, String> onRejection;
  private final Set<CallerConnection> connections = new HashSet<>();
  private NetServer server;
  private boolean closing;
  private long timeoutTimer;

  private CallerServer(
      Vertx vertx,
      LongSupplier clock,
      Supplier<CallerBounds> bounds,
      CallerHandler handler,
      BiConsumer<Integer, String> rejections) {
    this.vertx = vertx;
    this.clock = clock;
    this.bounds = bounds;
    this.handler = handler;
    this.onRejection = rejections;
  }

  /**
   * Returns a server that does not listen yet.
   *
   * @param vertx runs it
   * @param clock gives the time in milliseconds
   * @param bounds gives what callers may send
   * @param handler takes requests
   * @param rejections hears status and reason of requests that cannot be read
   * @return the server
   */
  public static CallerServer create(
      Vertx vertx,
      LongSupplier clock,
      Supplier<CallerBounds> bounds,
      CallerHandler handler,
      BiConsumer<Integer, String> rejections) {
    return new CallerServer(vertx, clock, bounds, handler, rejections);
  }

  /**
   * Begins to listen.
   *
   * @param address where
   * @return the bound port
   */
  public Future<Integer> listen(InetAddressPort address) {
    NetServerOptions options =
        new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(ACCEPT_BACKLOG);
    server =
        vertx
            .createNetServer(options)
            .connectHandler(
                socket ->
                    connections.add(CallerConnection.accept((NetSocketInternal) socket, this)));
    timeoutTimer = vertx.setPeriodic(TIMEOUT_CHECK_MILLIS, timer -> enforceTimeouts());
    return server.listen(address.port(), address.host()).map(NetServer::actualPort);
  }

  /** Says in each answer from now on that its connection closes. */
  public void beginClose() {
    closing = true;
  }

  /** Closes the connections on which no request is being handled. */
  public void closeIdle() {
    Set.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
  }

  /**
   * Counts the connections on which a request is being handled.
   *
   * @return their number
   */
  public long busyConnections() {
    return connections.stream().filter(CallerConnection::isBusy).count();
  }

  /**
   * Stops listening and closes all connections.
   *
   * @return succeeds when nothing is open
   */
  public Future<Void> close() {
    vertx.cancelTimer(timeoutTimer);
    Set.copyOf(connections).forEach(CallerConnection::close);
    return server == null ? Future.succeededFuture() : server.close();
  }

  boolean isClosing() {
    return closing;
  }

  CallerBounds bounds() {
    return bounds.get();
  }

  long nowMillis() {
    return clock.getAsLong();
  }

  void handle(CallerExchange exchange) {
    handler.handle(exchange);
  }

  void onRejected(int status, String reason) {
    onRejection.accept(status, reason);
  }

  void onConnectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  private void enforceTimeouts() {
    CallerBounds now = bounds.get();
    long nowMillis = clock.getAsLong();
    Set.copyOf(connections).forEach(connection -> connection.enforceTimeouts(now, nowMillis));
  }
}
