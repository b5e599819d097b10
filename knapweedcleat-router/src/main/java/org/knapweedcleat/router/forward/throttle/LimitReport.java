package org.knapweedcleat.router.forward.throttle;

import java.util.OptionalDouble;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.throttle.LimitObservation;

/**
 * A {@link LimitObservation} as sent to another instance, whose clock differs.
 *
 * @param endpoint the endpoint's id
 * @param startedAtMillis the endpoint's start time in Unix milliseconds
 * @param limited whether the endpoint announced a limit
 * @param requestsPerSecond the limit; 0 if there is none
 * @param ageMillis the time since the observation
 */
public record LimitReport(
    String endpoint,
    long startedAtMillis,
    boolean limited,
    double requestsPerSecond,
    long ageMillis) {

  /**
   * Returns the report of an observation.
   *
   * @param nowMillis the current time
   * @param observation the observation
   * @return the report
   */
  public static LimitReport of(long nowMillis, LimitObservation observation) {
    return new LimitReport(
        observation.endpoint().id().value(),
        observation.endpoint().startedAtMillis(),
        observation.requestsPerSecond().isPresent(),
        observation.requestsPerSecond().orElse(0),
        nowMillis - observation.observedAtMillis());
  }

  /**
   * Returns the reported observation in this instance's time.
   *
   * @param nowMillis the current time
   * @param source who observed it
   * @return the observation
   */
  public LimitObservation toObservation(long nowMillis, ObservationSource source) {
    return new LimitObservation(
        new EndpointIncarnation(EndpointId.of(endpoint), startedAtMillis),
        limited ? OptionalDouble.of(requestsPerSecond) : OptionalDouble.empty(),
        nowMillis - ageMillis,
        source);
  }
}
