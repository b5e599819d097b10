package org.knapweedcleat.router.forward.log;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.throttle.LimitObservation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes structured log lines, each with an event name and key-value pairs.
 *
 * <p>The number of lines per second is limited. A part of the limit is reserved for failures and
 * state changes, so that successes do not crowd them out. Lines over the limit are dropped, and
 * their number is logged.
 */
public final class DecisionLog {

  private static final Logger LOG = LoggerFactory.getLogger("decisions");

  /** Above the number of calls per second that an instance currently serves. */
  private static final int MAX_LINES_PER_SECOND = 400;

  /** Lines per second that are not available to successes. */
  private static final int RESERVED_LINES_PER_SECOND = 200;

  private static final long MILLIS_PER_SECOND = 1_000;

  private final LongSupplier clock;
  private final MetricRegistry metrics;
  private long secondStartedMillis = Long.MIN_VALUE / 2;
  private int lines;
  private long droppedLines;

  private DecisionLog(LongSupplier clock, MetricRegistry metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /**
   * Returns a log.
   *
   * @param clock supplies the time in milliseconds
   * @param metrics counts dropped lines
   * @return the log
   */
  public static DecisionLog of(LongSupplier clock, MetricRegistry metrics) {
    return new DecisionLog(clock, metrics);
  }

  /**
   * Logs the success of a call.
   *
   * @param event the event name
   * @param pairs alternating keys and values
   */
  public void success(String event, Object... pairs) {
    write(MAX_LINES_PER_SECOND - RESERVED_LINES_PER_SECOND, event, pairs);
  }

  /**
   * Logs a failure of a call.
   *
   * @param event the event name
   * @param pairs alternating keys and values
   */
  public void failure(String event, Object... pairs) {
    write(MAX_LINES_PER_SECOND, event, pairs);
  }

  /**
   * Logs a change of what this process assumes about its environment or itself.
   *
   * @param event the event name
   * @param pairs alternating keys and values
   */
  public void stateChange(String event, Object... pairs) {
    write(MAX_LINES_PER_SECOND, event, pairs);
  }

  /**
   * Logs that the rate limit of an endpoint has changed.
   *
   * @param observation the observation of its new limit
   */
  public void limitChange(LimitObservation observation) {
    observation
        .requestsPerSecond()
        .ifPresentOrElse(
            limit ->
                stateChange(
                    "endpoint.limited",
                    "endpoint",
                    observation.endpoint().id(),
                    "requestsPerSecond",
                    limit,
                    "source",
                    observation.source().label()),
            () ->
                stateChange(
                    "endpoint.unlimited",
                    "endpoint",
                    observation.endpoint().id(),
                    "source",
                    observation.source().label()));
  }

  private void write(int limit, String event, Object... pairs) {
    startNewSecond();
    if (lines >= limit) {
      droppedLines++;
      metrics.counter("log.lines.dropped").inc();
      return;
    }
    lines++;
    LoggingEventBuilder line = LOG.atInfo();
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      Object value = pairs[i + 1];
      boolean primitive = value instanceof Number || value instanceof Boolean;
      line = line.addKeyValue(String.valueOf(pairs[i]), primitive ? value : String.valueOf(value));
    }
    line.log(event);
  }

  private void startNewSecond() {
    long nowMillis = clock.getAsLong();
    if (nowMillis - secondStartedMillis < MILLIS_PER_SECOND) {
      return;
    }
    secondStartedMillis = nowMillis;
    lines = 0;
    if (droppedLines > 0) {
      long count = droppedLines;
      droppedLines = 0;
      LOG.atInfo().addKeyValue("count", count).log("log.lines.dropped");
    }
  }
}
