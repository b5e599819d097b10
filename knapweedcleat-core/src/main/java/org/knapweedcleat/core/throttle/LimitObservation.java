package org.knapweedcleat.core.throttle;

import java.util.OptionalDouble;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;

/**
 * What an endpoint last announced about its rate limit.
 *
 * @param endpoint the endpoint
 * @param requestsPerSecond the limit; empty if the endpoint announced none
 * @param observedAtMillis when the announcement arrived, or for a response without one, when its
 *     request was sent
 * @param source who observed it
 */
public record LimitObservation(
    EndpointIncarnation endpoint,
    OptionalDouble requestsPerSecond,
    long observedAtMillis,
    ObservationSource source) {

  /**
   * A limit ends with a response without one only if none was announced for this long. A single
   * response that lacks it would otherwise let all instances send freely for a moment.
   */
  static final long MIN_SILENCE_MILLIS = 1_000;

  /** Tells whether this observation replaces one that was recorded before; a limit wins a tie. */
  boolean supersedes(LimitObservation previous) {
    if (requestsPerSecond.isPresent()) {
      return observedAtMillis >= previous.observedAtMillis;
    }
    long silenceMillis = previous.requestsPerSecond.isPresent() ? MIN_SILENCE_MILLIS : 0;
    return observedAtMillis > previous.observedAtMillis + silenceMillis;
  }
}
