package org.knapweedcleat.core.schedule;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Counts what a scheduler decided. */
public final class SchedulerCounters implements MetricSet {

  private final Counter placed = new Counter();
  private final Counter orphansCancelled = new Counter();
  private final Counter wastedPrefillTokens = new Counter();
  private final Counter computedPrefillTokens = new Counter();
  private final Map<RefusalReason, Counter> refused = new EnumMap<>(RefusalReason.class);

  private SchedulerCounters() {
    for (RefusalReason reason : RefusalReason.values()) {
      refused.put(reason, new Counter());
    }
  }

  static SchedulerCounters create() {
    return new SchedulerCounters();
  }

  /**
   * Counts the requests that were placed.
   *
   * @return the counter
   */
  public Counter placed() {
    return placed;
  }

  /**
   * Counts the requests that were refused for a reason.
   *
   * @param reason the reason
   * @return the counter
   */
  public Counter refused(RefusalReason reason) {
    return refused.get(reason);
  }

  /**
   * Counts the orphans that were cancelled.
   *
   * @return the counter
   */
  public Counter orphansCancelled() {
    return orphansCancelled;
  }

  /**
   * Counts the prompt tokens that were computed.
   *
   * @return the counter
   */
  public Counter computedPrefillTokens() {
    return computedPrefillTokens;
  }

  /**
   * Counts the prompt tokens that were computed for nothing.
   *
   * @return the counter
   */
  public Counter wastedPrefillTokens() {
    return wastedPrefillTokens;
  }

  @Override
  public Map<String, Metric> getMetrics() {
    Map<String, Metric> metrics = new HashMap<>();
    metrics.put("schedule.placed", placed);
    metrics.put("schedule.orphans.cancelled", orphansCancelled);
    metrics.put("schedule.prefill.computedTokens", computedPrefillTokens);
    metrics.put("schedule.prefill.wastedTokens", wastedPrefillTokens);
    refused.forEach(
        (reason, counter) ->
            metrics.put("schedule.refused." + reason.name().toLowerCase(Locale.ROOT), counter));
    return metrics;
  }
}
