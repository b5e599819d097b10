package org.knapweedcleat.core.balance;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.EndpointId;

/**
 * What endpoints say in their answers of further calls: that they leave, or from when on they want
 * some. Unlike what is seen of their health, it binds also if there is no other endpoint.
 */
public final class EndpointAvailability {

  /** Far more than endpoints that are known at a time; the oldest are dropped. */
  private static final int MAX_ENTRIES = 4_000;

  private final Map<EndpointIncarnation, Long> unavailableUntilMillis =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, Long> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** One life of an endpoint, which may start again under the same id. */
  private record EndpointIncarnation(EndpointId id, long bornMillis) {
    static EndpointIncarnation of(EndpointEntry endpoint) {
      return new EndpointIncarnation(endpoint.id(), endpoint.startedAtMillis());
    }
  }

  private EndpointAvailability() {}

  /**
   * Returns notices of no endpoint.
   *
   * @return the notices
   */
  public static EndpointAvailability create() {
    return new EndpointAvailability();
  }

  /**
   * Notes that an endpoint leaves.
   *
   * @param endpoint the endpoint
   * @return true if that was not known
   */
  public boolean markLeaving(EndpointEntry endpoint) {
    Long before = unavailableUntilMillis.put(EndpointIncarnation.of(endpoint), Long.MAX_VALUE);
    return before == null || before != Long.MAX_VALUE;
  }

  /**
   * Notes that an endpoint wants no calls for a time.
   *
   * @param nowMillis the time
   * @param endpoint the endpoint
   * @param pauseMillis how long, at least 0
   */
  public void markPaused(long nowMillis, EndpointEntry endpoint, long pauseMillis) {
    unavailableUntilMillis.merge(EndpointIncarnation.of(endpoint), nowMillis + pauseMillis, Math::max);
  }

  /**
   * Lists the endpoints that take calls now.
   *
   * @param nowMillis the time
   * @param endpoints endpoints
   * @return those of them that neither leave nor pause
   */
  public List<EndpointEntry> available(long nowMillis, List<EndpointEntry> endpoints) {
    if (unavailableUntilMillis.isEmpty()) {
      return endpoints;
    }
    return endpoints.stream().filter(one -> isAvailable(nowMillis, one)).toList();
  }

  /**
   * Tells whether an endpoint takes calls now.
   *
   * @param nowMillis the time
   * @param endpoint the endpoint
   * @return false if it leaves or pauses
   */
  public boolean isAvailable(long nowMillis, EndpointEntry endpoint) {
    return unavailableUntil(endpoint) <= nowMillis;
  }

  /**
   * Returns how long it takes until one of the endpoints takes calls again.
   *
   * @param nowMillis the time
   * @param endpoints endpoints
   * @return milliseconds, 0 if one does now; empty if all leave or there are none
   */
  public OptionalLong millisUntilAvailable(long nowMillis, List<EndpointEntry> endpoints) {
    return endpoints.stream()
        .mapToLong(this::unavailableUntil)
        .filter(until -> until != Long.MAX_VALUE)
        .map(until -> Math.max(0, until - nowMillis))
        .min();
  }

  private long unavailableUntil(EndpointEntry endpoint) {
    return unavailableUntilMillis.getOrDefault(EndpointIncarnation.of(endpoint), Long.MIN_VALUE);
  }
}
