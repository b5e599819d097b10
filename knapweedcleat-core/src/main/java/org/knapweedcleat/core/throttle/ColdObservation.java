package org.knapweedcleat.core.throttle;

import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;

/**
 * What an endpoint last stated about being cold.
 *
 * @param endpoint the endpoint
 * @param untilMillis when it will be warm
 * @param observedAtMillis when the statement arrived
 * @param source who observed it
 */
public record ColdObservation(
    EndpointIncarnation endpoint,
    long untilMillis,
    long observedAtMillis,
    ObservationSource source) {}
