package org.knapweedcleat.router.listener;

import com.codahale.metrics.MetricRegistry;
import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.listener.CloseReason;
import org.knapweedcleat.core.listener.ConnectionUsage;
import org.knapweedcleat.core.listener.Eviction;
import org.knapweedcleat.core.listener.ListenerBudget;
import org.knapweedcleat.core.listener.ListenerLimits;

/** Applies the limits of one listener to its connections; confined to the listener's event loop. */
public final class ListenerGuard {

  private static final long TICK_MILLIS = 500;

  private final String name;
  private final ListenerLimits limits;
  private final ListenerBudget budget;
  private final LongSupplier clock;
  private final MetricRegistry metrics;
  private final Reporter reporter;
  private final Map<Long, GuardedConnection> connections = new HashMap<>();
  private final Map<CloseReason, Long> unreported = new EnumMap<>(CloseReason.class);
  private long unreportedBytes;
  private long lastNumber;
  private boolean ticking;

  private ListenerGuard(
      String name,
      ListenerLimits limits,
      LongSupplier clock,
      MetricRegistry metrics,
      Reporter reporter) {
    this.name = name;
    this.limits = limits;
    this.budget = ListenerBudget.of(limits);
    this.clock = clock;
    this.metrics = metrics;
    this.reporter = reporter;
  }

  /** Records closed connections, at most twice a second. */
  @FunctionalInterface
  public interface Reporter {

    /**
     * Records the connections that were closed since the last report.
     *
     * @param listener the name of the listener
     * @param counts the number of closed connections by reason
     * @param releasedBytes the memory that they held
     * @param open the number of connections that remain
     */
    void closed(String listener, Map<CloseReason, Long> counts, long releasedBytes, int open);
  }

  /** A connection as its transport sees it. */
  interface GuardedConnection {

    /** Returns what the connection holds now. */
    ConnectionUsage usage();

    /** Closes the connection, with a refusal where the protocol allows one. */
    void evict(CloseReason reason);
  }

  /**
   * Returns a guard without connections.
   *
   * @param name the name of the listener in metrics and log lines
   * @param limits its limits
   * @param clock supplies the time in milliseconds
   * @param metrics counts closed connections
   * @param reporter records closed connections
   * @return the guard
   */
  public static ListenerGuard of(
      String name,
      ListenerLimits limits,
      LongSupplier clock,
      MetricRegistry metrics,
      Reporter reporter) {
    return new ListenerGuard(name, limits, clock, metrics, reporter);
  }

  /**
   * Applies the limits to the connections of a server; replaces its connection handler.
   *
   * @param server a server that does not listen yet
   * @param maxDiscardBytes how much of a body that has been refused is read and discarded
   */
  public void protect(HttpServer server, long maxDiscardBytes) {
    server.connectionHandler(connection -> attach(connection, maxDiscardBytes));
  }

  private void attach(HttpConnection connection, long maxDiscardBytes) {
    if (connection instanceof ConnectionBase base) {
      HttpConnectionMeter.attach(
          this, base.channelHandlerContext(), limits.maxHeaderLines(), maxDiscardBytes);
    }
  }

  /** Adds a connection and returns its number, or -1 if it was refused. */
  long open(GuardedConnection connection, EventExecutor executor) {
    long number = ++lastNumber;
    connections.put(number, connection);
    budget.opened(number, clock.getAsLong()).ifPresent(this::evict);
    if (!connections.containsKey(number)) {
      return -1;
    }
    if (!ticking) {
      ticking = true;
      scheduleTick(executor);
    }
    return number;
  }

  void update(long number, ConnectionUsage usage) {
    budget.update(number, usage, clock.getAsLong()).forEach(this::evict);
  }

  /** Closes a connection that exceeds a limit of its protocol. */
  void evictNow(long number, CloseReason reason) {
    if (connections.containsKey(number)) {
      long heldBytes = connections.get(number).usage().heldBytes();
      budget.closed(number);
      evict(new Eviction(number, reason, heldBytes));
    }
  }

  void closed(long number) {
    connections.remove(number);
    budget.closed(number);
  }

  private void evict(Eviction eviction) {
    GuardedConnection connection = connections.remove(eviction.connection());
    if (connection == null) {
      return;
    }
    metrics.counter("listener." + name + ".closed." + eviction.reason().label()).inc();
    unreported.merge(eviction.reason(), 1L, Long::sum);
    unreportedBytes += eviction.heldBytes();
    connection.evict(eviction.reason());
  }

  private void scheduleTick(EventExecutor executor) {
    executor.schedule(() -> tick(executor), TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick(EventExecutor executor) {
    List.copyOf(connections.entrySet())
        .forEach(entry -> update(entry.getKey(), entry.getValue().usage()));
    budget.tick(clock.getAsLong()).forEach(this::evict);
    if (!unreported.isEmpty()) {
      reporter.closed(name, Map.copyOf(unreported), unreportedBytes, budget.openConnections());
      unreported.clear();
      unreportedBytes = 0;
    }
    if (connections.isEmpty()) {
      ticking = false;
    } else {
      scheduleTick(executor);
    }
  }
}
