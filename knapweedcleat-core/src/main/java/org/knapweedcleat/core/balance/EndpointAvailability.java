package org.knapweedcleat.core.balance;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.knapweedcleat.core.collection.BoundedMap;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;

/**
 * Tracks what endpoints announce in their responses: that they are leaving, or accept no calls for
 * a time. Unlike {@link EndpointHealth}, this is binding even if there is no other endpoint.
 */
public final class EndpointAvailability {

  /** Far more than the endpoints of any deployment; the oldest entries are dropped. */
  private static final int MAX_ENTRIES = 4_000;

  private final Map<EndpointIncarnation, Long> unavailableUntilMillis = BoundedMap.of(MAX_ENTRIES);

  private EndpointAvailability() {}

  /**
   * Returns a tracker by which every endpoint is available.
   *
   * @return the tracker
   */
  public static EndpointAvailability create() {
    return new EndpointAvailability();
  }

  /**
   * Records that an endpoint is leaving.
   *
   * @param endpoint the endpoint
   * @return true if this was not known before
   */
  public boolean markLeaving(EndpointEntry endpoint) {
    Long previous = unavailableUntilMillis.put(EndpointIncarnation.of(endpoint), Long.MAX_VALUE);
    return previous == null || previous != Long.MAX_VALUE;
  }

  /**
   * Records that an endpoint accepts no calls for a time. A shorter pause does not replace a longer
   * one.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @param pauseMillis the length of the pause, at least 0
   */
  public void markPaused(long nowMillis, EndpointEntry endpoint, long pauseMillis) {
    unavailableUntilMillis.merge(
        EndpointIncarnation.of(endpoint), nowMillis + pauseMillis, Math::max);
  }

  /**
   * Returns the endpoints that accept calls now.
   *
   * @param nowMillis the current time
   * @param endpoints the endpoints to filter
   * @return those that are neither leaving nor paused
   */
  public List<EndpointEntry> available(long nowMillis, List<EndpointEntry> endpoints) {
    if (unavailableUntilMillis.isEmpty()) {
      return endpoints;
    }
    return endpoints.stream().filter(endpoint -> isAvailable(nowMillis, endpoint)).toList();
  }

  /**
   * Returns whether an endpoint accepts calls now.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @return false if it is leaving or paused
   */
  public boolean isAvailable(long nowMillis, EndpointEntry endpoint) {
    return unavailableUntil(endpoint) <= nowMillis;
  }

  /**
   * Returns the time until the first of the endpoints accepts calls again.
   *
   * @param nowMillis the current time
   * @param endpoints the endpoints
   * @return milliseconds, 0 if one accepts calls now; empty if all are leaving or there are none
   */
  public OptionalLong millisUntilAvailable(long nowMillis, List<EndpointEntry> endpoints) {
    return endpoints.stream()
        .mapToLong(this::unavailableUntil)
        .filter(untilMillis -> untilMillis != Long.MAX_VALUE)
        .map(untilMillis -> Math.max(0, untilMillis - nowMillis))
        .min();
  }

  private long unavailableUntil(EndpointEntry endpoint) {
    return unavailableUntilMillis.getOrDefault(EndpointIncarnation.of(endpoint), Long.MIN_VALUE);
  }
}
