package org.knapweedcleat.core.throttle;

import java.util.Map;
import org.knapweedcleat.core.collection.BoundedMap;
import org.knapweedcleat.core.directory.EndpointIncarnation;

/**
 * Issues permits to send requests to endpoints with a rate limit, evenly spaced in time.
 *
 * <p>An endpoint has one issuer in the fleet. When that instance ends, its successor starts without
 * its state; it issues nothing for {@link #INITIAL_HOLD_MILLIS}, so that the permits of both do not
 * add up.
 */
public final class PermitIssuer {

  /** Time before the first permit; permits of a predecessor may still be in use. */
  static final long INITIAL_HOLD_MILLIS = 500;

  /**
   * Unused time that may be made up for, so that short gaps between calls do not lower the rate.
   */
  private static final long MAX_CREDIT_MILLIS = 200;

  /** An endpoint that accepts fewer gets this many, so that the end of its limit is noticed. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** The unused time that may be made up for, in seconds. */
  static final double MAX_CREDIT_SECONDS = MAX_CREDIT_MILLIS / MILLIS_PER_SECOND;

  /** Far more than the endpoints of any deployment; the oldest entries are dropped. */
  private static final int MAX_ENTRIES = 4_000;

  /** The time of the latest permit of each endpoint. */
  private final Map<EndpointIncarnation, Double> lastPermitMillis = BoundedMap.of(MAX_ENTRIES);

  private PermitIssuer() {}

  /**
   * Returns an issuer that has not issued any permits.
   *
   * @return the issuer
   */
  public static PermitIssuer create() {
    return new PermitIssuer();
  }

  /**
   * Decides on a request for a permit.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @param requestsPerSecond the endpoint's limit, at least 0
   * @param maxDelayMillis how long the sender is prepared to wait
   * @return a permit, or when the next one will be available
   */
  public PermitDecision request(
      long nowMillis, EndpointIncarnation endpoint, double requestsPerSecond, long maxDelayMillis) {
    double intervalMillis =
        MILLIS_PER_SECOND / Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
    double lastMillis =
        lastPermitMillis.computeIfAbsent(
            endpoint, created -> nowMillis + INITIAL_HOLD_MILLIS - intervalMillis);
    double permitMillis = Math.max(nowMillis - MAX_CREDIT_MILLIS, lastMillis + intervalMillis);
    long delayMillis = (long) Math.ceil(Math.max(0, permitMillis - nowMillis));
    if (delayMillis > maxDelayMillis) {
      return PermitDecision.denied(delayMillis);
    }
    lastPermitMillis.put(endpoint, permitMillis);
    return PermitDecision.granted(delayMillis);
  }
}
