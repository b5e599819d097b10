package org.knapweedcleat.core.throttle;

import java.util.OptionalDouble;
import org.knapweedcleat.core.directory.EndpointIncarnation;

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
    Source source) {

  /** The instance that observed an announcement. */
  public enum Source {
    /** This instance. */
    LOCAL("its response"),
    /** Another instance of this instance's failure domain. */
    OWN_DOMAIN("another instance"),
    /** An instance of another failure domain. */
    OTHER_DOMAIN("another instance");

    private final String label;

    Source(String label) {
      this.label = label;
    }

    /**
     * Returns the name to log.
     *
     * @return the name
     */
    public String label() {
      return label;
    }
  }

  /** Tells whether this observation replaces an earlier recorded one; a limit wins a tie. */
  boolean supersedes(LimitObservation previous) {
    return requestsPerSecond.isPresent()
        ? observedAtMillis >= previous.observedAtMillis
        : observedAtMillis > previous.observedAtMillis;
  }
}
