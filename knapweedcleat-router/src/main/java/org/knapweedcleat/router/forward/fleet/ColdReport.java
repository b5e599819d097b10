package org.knapweedcleat.router.forward.fleet;

import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.throttle.ColdObservation;

/**
 * A {@link ColdObservation} as sent to another instance, whose clock differs.
 *
 * @param endpoint the endpoint's id
 * @param startedAtMillis the endpoint's start time in Unix milliseconds
 * @param remainingMillis the time until it will be warm
 */
public record ColdReport(String endpoint, long startedAtMillis, long remainingMillis) {

  static ColdReport of(long nowMillis, ColdObservation observation) {
    return new ColdReport(
        observation.endpoint().id().value(),
        observation.endpoint().startedAtMillis(),
        observation.untilMillis() - nowMillis);
  }

  ColdObservation toObservation(long nowMillis, ObservationSource source) {
    return new ColdObservation(
        new EndpointIncarnation(EndpointId.of(endpoint), startedAtMillis),
        nowMillis + remainingMillis,
        nowMillis,
        source);
  }
}
