package org.knapweedcleat.core.throttle;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.knapweedcleat.core.directory.EndpointIncarnation;

/**
 * The request rates that endpoints currently announce as their limit for the whole fleet.
 *
 * <p>The latest observation decides, since responses on different connections may overtake each
 * other. A response without a limit counts from the time its request was sent: an endpoint may have
 * sent it before it began to announce a limit.
 */
public final class EndpointRateLimits {

  /** Far more than the endpoints of any deployment; the oldest entries are dropped. */
  private static final int MAX_ENTRIES = 4_000;

  private final Map<EndpointIncarnation, Observation> latest =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, Observation> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  private record Observation(OptionalDouble requestsPerSecond, long observedAtMillis) {}

  private EndpointRateLimits() {}

  /**
   * Returns a registry by which no endpoint has a limit.
   *
   * @return the registry
   */
  public static EndpointRateLimits create() {
    return new EndpointRateLimits();
  }

  /**
   * Records that an endpoint announced a limit.
   *
   * @param endpoint the endpoint
   * @param requestsPerSecond the limit, at least 0
   * @param observedAtMillis when the announcement arrived
   * @return true if the limit in force has changed
   */
  public boolean recordLimit(
      EndpointIncarnation endpoint, double requestsPerSecond, long observedAtMillis) {
    Observation previous = latest.get(endpoint);
    if (previous != null && previous.observedAtMillis() > observedAtMillis) {
      return false;
    }
    OptionalDouble limit = OptionalDouble.of(requestsPerSecond);
    latest.put(endpoint, new Observation(limit, observedAtMillis));
    return previous == null || !previous.requestsPerSecond().equals(limit);
  }

  /**
   * Records that an endpoint responded without announcing a limit.
   *
   * @param endpoint the endpoint
   * @param sentAtMillis when the request was sent
   * @return true if a limit was in force and no longer is
   */
  public boolean recordNoLimit(EndpointIncarnation endpoint, long sentAtMillis) {
    Observation previous = latest.get(endpoint);
    if (previous == null || previous.observedAtMillis() >= sentAtMillis) {
      return false;
    }
    latest.put(endpoint, new Observation(OptionalDouble.empty(), sentAtMillis));
    return previous.requestsPerSecond().isPresent();
  }

  /**
   * Returns the limit of an endpoint.
   *
   * @param endpoint the endpoint
   * @return requests per second of all instances together; empty if there is no limit
   */
  public OptionalDouble requestsPerSecond(EndpointIncarnation endpoint) {
    return Optional.ofNullable(latest.get(endpoint))
        .map(Observation::requestsPerSecond)
        .orElse(OptionalDouble.empty());
  }
}
