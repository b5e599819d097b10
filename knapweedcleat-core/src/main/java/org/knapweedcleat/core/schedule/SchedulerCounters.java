package org.knapweedcleat.core.schedule;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Counters of a scheduler's decisions and prefill work. */
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
   * Returns the counter of placed requests.
   *
   * @return the counter
   */
  public Counter placed() {
    return placed;
  }

  /**
   * Returns the counter of requests refused for a reason.
   *
   * @param reason the reason
   * @return the counter
   */
  public Counter refused(RefusalReason reason) {
    return refused.get(reason);
  }

  /**
   * Returns the counter of cancelled orphans.
   *
   * @return the counter
   */
  public Counter orphansCancelled() {
    return orphansCancelled;
  }

  /**
   * Returns the counter of computed prompt tokens.
   *
   * @return the counter
   */
  public Counter computedPrefillTokens() {
    return computedPrefillTokens;
  }

  /**
   * Returns the counter of prompt tokens computed for placements that ended before the first token.
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
