package org.knapweedcleat.core.invariant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Counts violations of invariants and keeps the first few for the operators.
 *
 * <p>A violation never stops the instance: serving on is worth more than stopping, and the count is
 * what operators and randomised runs look at.
 */
public final class InvariantMonitor {

  private static final int MAX_RECORDED = 100;

  private final Map<Invariant, Counter> counters = new EnumMap<>(Invariant.class);
  private final List<InvariantViolation> firstViolations = new ArrayList<>();

  private InvariantMonitor(MetricRegistry metrics) {
    for (Invariant invariant : Invariant.values()) {
      counters.put(invariant, metrics.counter(invariant.metricName()));
    }
  }

  /**
   * Returns a monitor that counts in a registry.
   *
   * @param metrics where the counters are registered
   * @return the monitor
   * @throws NullPointerException if the registry is null
   */
  public static InvariantMonitor of(MetricRegistry metrics) {
    return new InvariantMonitor(Objects.requireNonNull(metrics, "metrics"));
  }

  /**
   * Checks a condition and counts a violation when it is false.
   *
   * @param holds the condition
   * @param invariant what it belongs to
   * @param subject the id of what broke it
   * @return the condition
   */
  public synchronized boolean check(boolean holds, Invariant invariant, Object subject) {
    if (holds) {
      return true;
    }
    counters.get(invariant).inc();
    if (firstViolations.size() < MAX_RECORDED) {
      firstViolations.add(new InvariantViolation(invariant, String.valueOf(subject)));
    }
    return false;
  }

  /**
   * Counts the violations of all invariants.
   *
   * @return the count
   */
  public long violationCount() {
    return counters.values().stream().mapToLong(Counter::getCount).sum();
  }

  /**
   * Lists the first violations.
   *
   * @return a copy, oldest first
   */
  public synchronized List<InvariantViolation> firstViolations() {
    return List.copyOf(firstViolations);
  }
}
