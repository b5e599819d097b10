package org.knapweedcleat.core.throttle;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.knapweedcleat.core.collection.BoundedMap;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;

/**
 * The request rates that endpoints currently announce as their limit for the whole fleet, as
 * observed by this and other instances.
 *
 * <p>The latest observation decides, since responses on different connections may overtake each
 * other. A response without a limit counts from the time its request was sent: an endpoint may have
 * sent it before it began to announce a limit.
 */
public final class EndpointRateLimits {

  /** Other instances learn of an observation many times over in this time. */
  private static final long REPORT_MILLIS = 10_000;

  /** Far more than the endpoints of any deployment; the oldest entries are dropped. */
  private static final int MAX_ENTRIES = 4_000;

  private final Map<EndpointIncarnation, LimitObservation> latest = BoundedMap.of(MAX_ENTRIES);

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
   * Records an observation, unless a later one of the same endpoint is known.
   *
   * @param observation the observation
   * @return true if the limit in force has changed
   */
  public boolean record(LimitObservation observation) {
    LimitObservation previous = latest.get(observation.endpoint());
    if (previous == null && observation.requestsPerSecond().isEmpty()) {
      return false;
    }
    if (previous != null && !observation.supersedes(previous)) {
      return false;
    }
    latest.put(observation.endpoint(), observation);
    return previous == null
        || !previous.requestsPerSecond().equals(observation.requestsPerSecond());
  }

  /**
   * Returns the latest observation of an endpoint's limit.
   *
   * @param endpoint the endpoint
   * @return the observation; empty if the endpoint never announced a limit
   */
  public Optional<LimitObservation> find(EndpointIncarnation endpoint) {
    return Optional.ofNullable(latest.get(endpoint));
  }

  /**
   * Returns the limit of an endpoint.
   *
   * @param endpoint the endpoint
   * @return requests per second of all instances together; empty if there is no limit
   */
  public OptionalDouble requestsPerSecond(EndpointIncarnation endpoint) {
    return find(endpoint).map(LimitObservation::requestsPerSecond).orElse(OptionalDouble.empty());
  }

  /**
   * Returns the recent observations that other instances may not know of yet.
   *
   * @param nowMillis the current time
   * @param sources whose observations to return
   * @return the observations
   */
  public List<LimitObservation> recent(long nowMillis, Set<ObservationSource> sources) {
    if (latest.isEmpty()) {
      return List.of();
    }
    return latest.values().stream()
        .filter(observation -> sources.contains(observation.source()))
        .filter(observation -> nowMillis - observation.observedAtMillis() <= REPORT_MILLIS)
        .toList();
  }
}
