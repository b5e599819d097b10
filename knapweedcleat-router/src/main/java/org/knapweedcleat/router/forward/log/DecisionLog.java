package org.knapweedcleat.router.forward.log;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes structured lines: an event's name and its keys with their values.
 *
 * <p>In each second a part of the lines is kept for failures and changes of belief, so that
 * successes do not crowd them out. What is over the bound is counted and the number is logged.
 */
public final class DecisionLog {

  private static final Logger LOG = LoggerFactory.getLogger("decisions");

  /** Lines a second; more than the calls that an instance of today's users serves. */
  private static final int MAX_LINES_PER_SECOND = 400;

  /** Lines a second that successes leave to the rest. */
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
   * @param clock gives the time in milliseconds
   * @param metrics counts the lines that are left out
   * @return the log
   */
  public static DecisionLog of(LongSupplier clock, MetricRegistry metrics) {
    return new DecisionLog(clock, metrics);
  }

  /**
   * Writes a line on a call that went well.
   *
   * @param event the event's name
   * @param pairs keys and values by turns
   */
  public void success(String event, Object... pairs) {
    write(MAX_LINES_PER_SECOND - RESERVED_LINES_PER_SECOND, event, pairs);
  }

  /**
   * Writes a line on a call that did not go well.
   *
   * @param event the event's name
   * @param pairs keys and values by turns
   */
  public void failure(String event, Object... pairs) {
    write(MAX_LINES_PER_SECOND, event, pairs);
  }

  /**
   * Writes a line on what this process now believes.
   *
   * @param event the event's name
   * @param pairs keys and values by turns
   */
  public void stateChange(String event, Object... pairs) {
    write(MAX_LINES_PER_SECOND, event, pairs);
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
      boolean plain = value instanceof Number || value instanceof Boolean;
      line = line.addKeyValue(String.valueOf(pairs[i]), plain ? value : String.valueOf(value));
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
