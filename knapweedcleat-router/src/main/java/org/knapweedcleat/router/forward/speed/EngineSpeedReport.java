package org.knapweedcleat.router.forward.speed;

import org.knapweedcleat.core.balance.SpeedMeasure;
import org.knapweedcleat.core.balance.SpeedReport;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * A {@link SpeedReport} as sent to another instance, whose clock differs.
 *
 * @param service the id of the engine's service
 * @param engine the engine's id
 * @param measure what was measured
 * @param millis the median of the observations
 * @param observations their number
 * @param ageMillis the time since the latest of them
 */
public record EngineSpeedReport(
    String service,
    String engine,
    SpeedMeasure measure,
    double millis,
    int observations,
    long ageMillis) {

  /**
   * Returns a report as sent.
   *
   * @param nowMillis the current time
   * @param report the report
   * @return the form for other instances
   */
  public static EngineSpeedReport of(long nowMillis, SpeedReport report) {
    return new EngineSpeedReport(
        report.service().value(),
        report.engine().value(),
        report.measure(),
        report.millis(),
        report.observations(),
        nowMillis - report.observedAtMillis());
  }

  /**
   * Returns the report in this instance's time.
   *
   * @param nowMillis the current time
   * @return the report
   */
  public SpeedReport toReport(long nowMillis) {
    return new SpeedReport(
        ServiceId.of(service),
        EndpointId.of(engine),
        measure,
        millis,
        observations,
        nowMillis - ageMillis);
  }
}
