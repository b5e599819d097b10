package org.knapweedcleat.router.forward.throttle;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks for a permit to send a request to an endpoint with a rate limit.
 *
 * @param endpoint the endpoint's id
 * @param domain the endpoint's failure domain
 * @param startedAtMillis the endpoint's start time in Unix milliseconds
 * @param requestsPerSecond the limit that the sender knows of
 * @param limitAgeMillis the time since the endpoint announced the limit; {@link #NOT_ANNOUNCED} if
 *     it has not, and the limit is that of a cold endpoint
 * @param maxDelayMillis how long the sender is prepared to wait
 */
public record SendPermitQuery(
    String endpoint,
    String domain,
    long startedAtMillis,
    double requestsPerSecond,
    long limitAgeMillis,
    long maxDelayMillis)
    implements PeerMessage {

  /** The age of a limit that the endpoint has not announced. */
  public static final long NOT_ANNOUNCED = -1;

  /** Returns whether the endpoint itself has announced the limit. */
  boolean isLimitAnnounced() {
    return limitAgeMillis >= 0;
  }
}
