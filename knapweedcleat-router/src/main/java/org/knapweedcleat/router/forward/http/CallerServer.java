package org.knapweedcleat.router.forward.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.core.directory.RequestLimits;

/** HTTP server for the connections of callers. */
public final class CallerServer {

  private static final long TIMEOUT_CHECK_MILLIS = 500;

  /** Large enough for a burst of new callers. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Says nothing of whether the request has run, since it may have been passed on. */
  private static final int INTERNAL_ERROR = 500;

  private final Vertx vertx;
  private final LongSupplier clock;
  private final Supplier<RequestLimits> bounds;
  private final CallerHandler handler;
  private final BiConsumer<Integer, String> onRejection;
  private final Consumer<RuntimeException> onFault;
  private final CallerIntake intake;
  private final AcceptPacer pacer = AcceptPacer.create();
  private final Set<CallerConnection> connections = new HashSet<>();
  private NetServer server;
  private boolean closing;
  private long timeoutTimer;

  private CallerServer(
      Vertx vertx,
      LongSupplier clock,
      Supplier<RequestLimits> bounds,
      CallerHandler handler,
      BiConsumer<Integer, String> onRejection,
      Consumer<RuntimeException> onFault,
      CallerIntake intake) {
    this.vertx = vertx;
    this.clock = clock;
    this.bounds = bounds;
    this.handler = handler;
    this.onRejection = onRejection;
    this.onFault = onFault;
    this.intake = intake;
  }

  /**
   * Returns a server that does not listen yet and bounds neither memory nor connections.
   *
   * @param vertx runs it
   * @param clock supplies the time in milliseconds
   * @param bounds supplies the current limits for requests
   * @param handler handles requests
   * @param onRejection receives status and reason of requests that could not be read
   * @param onFault receives what the handler throws; the request is answered with status 500
   * @return the server
   */
  public static CallerServer create(
      Vertx vertx,
      LongSupplier clock,
      Supplier<RequestLimits> bounds,
      CallerHandler handler,
      BiConsumer<Integer, String> onRejection,
      Consumer<RuntimeException> onFault) {
    CallerIntake intake =
        CallerIntake.of(clock, CallerServerLimits.UNBOUNDED, bounds, Optional.empty());
    return new CallerServer(vertx, clock, bounds, handler, onRejection, onFault, intake);
  }

  /**
   * Returns a server that does not listen yet.
   *
   * @param vertx runs it
   * @param clock supplies the time in milliseconds
   * @param bounds supplies the current limits for requests
   * @param handler handles requests
   * @param onRejection receives status and reason of requests that could not be read
   * @param onFault receives what the handler throws; the request is answered with status 500
   * @param limits the limits of the process
   * @param log receives the decisions that follow from them
   * @return the server
   */
  public static CallerServer create(
      Vertx vertx,
      LongSupplier clock,
      Supplier<RequestLimits> bounds,
      CallerHandler handler,
      BiConsumer<Integer, String> onRejection,
      Consumer<RuntimeException> onFault,
      CallerServerLimits limits,
      CallerIntakeLog log) {
    CallerIntake intake = CallerIntake.of(clock, limits, bounds, Optional.of(log));
    return new CallerServer(vertx, clock, bounds, handler, onRejection, onFault, intake);
  }

  /**
   * Starts to listen.
   *
   * @param address the address to bind
   * @return the bound port
   */
  public Future<Integer> listen(InetAddressPort address) {
    NetServerOptions options =
        new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(ACCEPT_BACKLOG);
    server =
        vertx.createNetServer(options).connectHandler(socket -> accept((NetSocketInternal) socket));
    timeoutTimer = vertx.setPeriodic(TIMEOUT_CHECK_MILLIS, timer -> enforceTimeouts());
    return server
        .listen(address.port(), address.host())
        .map(NetServer::actualPort)
        .compose(port -> pacer.prepare(vertx, address, port).map(port));
  }

  /** From now on, each response announces that its connection closes. */
  public void beginClose() {
    closing = true;
  }

  /** Closes the connections that are not busy. */
  public void closeIdle() {
    Set.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
  }

  /**
   * Returns the number of connections on which a request is being received or handled, or its
   * response being written.
   *
   * @return the number
   */
  public long busyConnections() {
    return connections.stream().filter(CallerConnection::isBusy).count();
  }

  /**
   * Stops listening and closes all connections.
   *
   * @return succeeds when the server no longer listens
   */
  public Future<Void> close() {
    vertx.cancelTimer(timeoutTimer);
    Set.copyOf(connections).forEach(CallerConnection::close);
    return server == null ? Future.succeededFuture() : server.close();
  }

  private void accept(NetSocketInternal socket) {
    CallerConnection connection = CallerConnection.accept(socket, this);
    connections.add(connection);
    intake.admit(connection);
    pacer.onTakenOver(socket);
  }

  CallerIntake intake() {
    return intake;
  }

  boolean isClosing() {
    return closing;
  }

  RequestLimits bounds() {
    return bounds.get();
  }

  long nowMillis() {
    return clock.getAsLong();
  }

  void schedule(long millis, Runnable action) {
    vertx.setTimer(millis, timer -> action.run());
  }

  void handle(CallerExchange exchange) {
    try {
      handler.handle(exchange);
    } catch (RuntimeException e) {
      onFault.accept(e);
      if (exchange.isResponseStarted()) {
        exchange.abort();
      } else {
        exchange.respond(INTERNAL_ERROR, List.of(), Buffer.buffer());
      }
    }
  }

  void onRejected(int status, String reason) {
    onRejection.accept(status, reason);
  }

  void onConnectionClosed(CallerConnection connection) {
    connections.remove(connection);
    intake.close(connection.held());
  }

  private void enforceTimeouts() {
    RequestLimits currentBounds = bounds.get();
    long nowMillis = clock.getAsLong();
    Set.copyOf(connections)
        .forEach(connection -> connection.enforceTimeouts(currentBounds, nowMillis));
    intake.relieve();
    pacer.acceptNext();
  }
}
