package org.knapweedcleat.router.forward.log;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.locality.FractionChange;
import org.knapweedcleat.core.locality.LocalityListener;

/** Logs and counts which calls leave their failure domain. */
public final class LocalityLog implements LocalityListener {

  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final Map<String, Double> fractions = new HashMap<>();

  private LocalityLog(DecisionLog log, MetricRegistry metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Returns a log of decisions on locality.
   *
   * @param log records changed fractions
   * @param metrics counts calls and holds the fractions in force
   * @return the log
   */
  public static LocalityLog of(DecisionLog log, MetricRegistry metrics) {
    return new LocalityLog(log, metrics);
  }

  @Override
  public void onFractionChange(FractionChange change) {
    String origin = change.service() + "." + change.home();
    if (fractions.put(origin, change.fraction()) == null) {
      metrics.gauge("locality.fraction." + origin, () -> () -> fractions.get(origin));
    }
    log.stateChange(
        "locality.changed",
        "service",
        change.service(),
        "home",
        change.home(),
        "previous",
        change.previous(),
        "fraction",
        change.fraction(),
        "homeWaitMillis",
        roundedMillis(change.homeWaitMillis()),
        "elsewhereMillis",
        roundedMillis(change.elsewhereMillis()),
        "reportAgeMillis",
        change.reportAgeMillis().orElse(-1));
  }

  @Override
  public void onCall(ServiceId service, FailureDomainId home, FailureDomainId chosen) {
    metrics.counter("locality." + (home.equals(chosen) ? "kept." : "sent.") + service).inc();
  }

  /** Returns whole milliseconds; -1 if there is no capacity, which JSON has no number for. */
  private static long roundedMillis(double millis) {
    return Double.isInfinite(millis) ? -1 : Math.round(millis);
  }
}
