package org.knapweedcleat.core.balance;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * What one instance has observed of the speed of an engine.
 *
 * @param service the service of the engine
 * @param engine the engine
 * @param measure what was measured
 * @param millis the median of the observations
 * @param observations their number
 * @param observedAtMillis the time of the latest of them
 */
public record SpeedReport(
    ServiceId service,
    EndpointId engine,
    SpeedMeasure measure,
    double millis,
    int observations,
    long observedAtMillis) {}
