package org.knapweedcleat.core.balance;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * An engine that now counts as slow, or no longer does.
 *
 * @param service the service of the engine
 * @param engine the engine
 * @param measure what was measured
 * @param slow whether it counts as slow
 * @param factor how many times as long as the median engine it takes; 1 if it is not slow
 * @param observations the observations that count; 0 if there is no estimate any more
 * @param ageMillis the age of the latest observation
 */
public record SpeedChange(
    ServiceId service,
    EndpointId engine,
    SpeedMeasure measure,
    boolean slow,
    double factor,
    int observations,
    long ageMillis) {}
