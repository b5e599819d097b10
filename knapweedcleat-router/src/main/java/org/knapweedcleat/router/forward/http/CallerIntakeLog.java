package org.knapweedcleat.router.forward.http;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.intake.CallerMemoryBudget;
import org.knapweedcleat.core.intake.HeldMemory;
import org.knapweedcleat.router.forward.log.DecisionLog;

/**
 * Logs and counts the decisions on callers' connections. Of each kind one line a second is written
 * at most, since the loads that cause them are many; its count covers those since the last line.
 */
public final class CallerIntakeLog {

  private static final long LINE_INTERVAL_MILLIS = 1_000;

  /** The kinds of decisions. */
  enum Event {
    /** A request or a new connection was refused with 503. */
    REFUSED("callers.refused"),
    /** A connection is not read until memory is free. */
    PAUSED("callers.paused"),
    /** A connection was closed. */
    CLOSED("callers.closed");

    private final String label;

    Event(String label) {
      this.label = label;
    }
  }

  private static final class Kind {
    private long lastLineMillis = Long.MIN_VALUE / 2;
    private long count;
  }

  private final LongSupplier clock;
  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final Map<Event, Kind> kinds = new EnumMap<>(Event.class);

  private CallerIntakeLog(LongSupplier clock, DecisionLog log, MetricRegistry metrics) {
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    for (Event event : Event.values()) {
      kinds.put(event, new Kind());
      metrics.counter(event.label);
    }
  }

  /**
   * Returns a log.
   *
   * @param clock supplies the time in milliseconds
   * @param log receives the lines
   * @param metrics counts the events
   * @return the log
   */
  public static CallerIntakeLog of(LongSupplier clock, DecisionLog log, MetricRegistry metrics) {
    return new CallerIntakeLog(clock, log, metrics);
  }

  /** Publishes the state of the budget as metrics. */
  void observe(CallerMemoryBudget budget) {
    metrics.gauge("callers.held_bytes", () -> (Gauge<Long>) budget::totalBytes);
    metrics.gauge("callers.capacity_bytes", () -> (Gauge<Long>) budget::capacityBytes);
    metrics.gauge("callers.connections", () -> (Gauge<Integer>) budget::connections);
    metrics.gauge("callers.partial_requests", () -> (Gauge<Integer>) budget::partialRequests);
    metrics.gauge("callers.paused_connections", () -> (Gauge<Integer>) budget::stoppedConnections);
  }

  /**
   * Records a decision.
   *
   * @param event its kind
   * @param reason why it was taken
   * @param held what the connection holds
   * @param budget the budget with all connections
   */
  void record(Event event, String reason, HeldMemory held, CallerMemoryBudget budget) {
    metrics.counter(event.label).inc();
    Kind kind = kinds.get(event);
    kind.count++;
    long nowMillis = clock.getAsLong();
    if (nowMillis - kind.lastLineMillis < LINE_INTERVAL_MILLIS) {
      return;
    }
    log.failure(
        event.label,
        "why",
        reason,
        "count",
        kind.count,
        "caller",
        held.caller(),
        "heldBytes",
        held.totalBytes(),
        "stalledMillis",
        held.stalledMillis(nowMillis),
        "totalBytes",
        budget.totalBytes(),
        "capacityBytes",
        budget.capacityBytes(),
        "connections",
        budget.connections(),
        "partialRequests",
        budget.partialRequests(),
        "largestCaller",
        budget.largest().map(HeldMemory::caller).orElse(""),
        "largestBytes",
        budget.largest().map(HeldMemory::totalBytes).orElse(0L));
    kind.lastLineMillis = nowMillis;
    kind.count = 0;
  }
}
