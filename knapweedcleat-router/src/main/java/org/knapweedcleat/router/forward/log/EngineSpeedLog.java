package org.knapweedcleat.router.forward.log;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.balance.EngineSpeedListener;
import org.knapweedcleat.core.balance.SpeedChange;
import org.knapweedcleat.core.balance.SpeedMeasure;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

/** Logs engines that become slow or normal again, and counts the slow ones by service. */
public final class EngineSpeedLog implements EngineSpeedListener {

  private static final double FACTOR_DIGITS = 100;

  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final Map<ServiceId, Set<SlowMeasure>> slow = new HashMap<>();

  private record SlowMeasure(EndpointId engine, SpeedMeasure measure) {}

  private EngineSpeedLog(DecisionLog log, MetricRegistry metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Returns a log of the speed of engines.
   *
   * @param log records changes
   * @param metrics holds the number of slow engines
   * @return the log
   */
  public static EngineSpeedLog of(DecisionLog log, MetricRegistry metrics) {
    return new EngineSpeedLog(log, metrics);
  }

  @Override
  public void onChange(SpeedChange change) {
    Set<SlowMeasure> slowOfService = slow.get(change.service());
    if (slowOfService == null) {
      Set<SlowMeasure> created = new HashSet<>();
      slow.put(change.service(), created);
      metrics.gauge("engines.slow." + change.service(), () -> () -> countEngines(created));
      slowOfService = created;
    }
    SlowMeasure key = new SlowMeasure(change.engine(), change.measure());
    if (change.slow()) {
      slowOfService.add(key);
    } else {
      slowOfService.remove(key);
    }
    log.stateChange(
        change.slow() ? "engine.slow" : "engine.normal",
        "service",
        change.service(),
        "engine",
        change.engine(),
        "measure",
        change.measure(),
        "factor",
        Math.round(change.factor() * FACTOR_DIGITS) / FACTOR_DIGITS,
        "observations",
        change.observations(),
        "ageMillis",
        change.ageMillis());
  }

  private static long countEngines(Set<SlowMeasure> measures) {
    return measures.stream().map(SlowMeasure::engine).distinct().count();
  }
}
