package org.knapweedcleat.core.invariant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Counts invariant violations and records the first ones for operators.
 *
 * <p>A violation does not stop the instance, because continued service is more valuable. Operators
 * and randomized tests check the counts instead.
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
   * Returns a monitor with counters in a metric registry.
   *
   * @param metrics the registry for the counters
   * @return the monitor
   * @throws NullPointerException if the registry is null
   */
  public static InvariantMonitor of(MetricRegistry metrics) {
    return new InvariantMonitor(Objects.requireNonNull(metrics, "metrics"));
  }

  /**
   * Checks a condition and counts a violation if it is false.
   *
   * @param holds the condition
   * @param invariant the invariant that the condition belongs to
   * @param subject the id of the subject that is checked
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
   * Returns the number of violations of all invariants.
   *
   * @return the count
   */
  public long violationCount() {
    return counters.values().stream().mapToLong(Counter::getCount).sum();
  }

  /**
   * Returns the first violations.
   *
   * @return a copy, oldest first
   */
  public synchronized List<InvariantViolation> firstViolations() {
    return List.copyOf(firstViolations);
  }
}
