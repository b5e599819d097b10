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

  private final Map<EndpointIncarnation, Unavailability> unavailable = BoundedMap.of(MAX_ENTRIES);

  /** Until when an endpoint accepts no calls, and why. */
  private record Unavailability(long untilMillis, IneligibilityReason reason) {

    Unavailability latest(Unavailability other) {
      return other.untilMillis > untilMillis ? other : this;
    }
  }

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
    Unavailability previous =
        unavailable.put(
            EndpointIncarnation.of(endpoint),
            new Unavailability(Long.MAX_VALUE, IneligibilityReason.LEAVING));
    return previous == null || previous.untilMillis() != Long.MAX_VALUE;
  }

  /**
   * Records that an endpoint has asked for a pause. A shorter pause does not replace a longer one.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @param pauseMillis the length of the pause, at least 0
   */
  public void markPaused(long nowMillis, EndpointEntry endpoint, long pauseMillis) {
    markUnavailable(nowMillis, endpoint, pauseMillis, IneligibilityReason.PAUSED);
  }

  /**
   * Records that an endpoint accepts no calls for a time. A shorter time does not replace a longer
   * one.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @param millis the time, at least 0
   * @param reason the reason
   */
  public void markUnavailable(
      long nowMillis, EndpointEntry endpoint, long millis, IneligibilityReason reason) {
    unavailable.merge(
        EndpointIncarnation.of(endpoint),
        new Unavailability(nowMillis + millis, reason),
        Unavailability::latest);
  }

  /**
   * Returns whether no endpoint has announced anything.
   *
   * @return true if all endpoints accept calls
   */
  boolean allAvailable() {
    return unavailable.isEmpty();
  }

  /**
   * Returns whether an endpoint accepts calls now.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @return the verdict
   */
  public Eligibility check(long nowMillis, EndpointEntry endpoint) {
    if (unavailable.isEmpty()) {
      return Eligibility.ELIGIBLE;
    }
    Unavailability current = unavailable.get(EndpointIncarnation.of(endpoint));
    if (current == null || current.untilMillis() <= nowMillis) {
      return Eligibility.ELIGIBLE;
    }
    return current.untilMillis() == Long.MAX_VALUE
        ? Eligibility.not(current.reason())
        : Eligibility.notYet(current.reason(), current.untilMillis() - nowMillis);
  }

  /**
   * Returns the endpoints that accept calls now.
   *
   * @param nowMillis the current time
   * @param endpoints the endpoints to filter
   * @return those that are neither leaving nor paused
   */
  public List<EndpointEntry> available(long nowMillis, List<EndpointEntry> endpoints) {
    if (unavailable.isEmpty()) {
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
    return check(nowMillis, endpoint).isEligible();
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
        .flatMapToLong(endpoint -> check(nowMillis, endpoint).opensInMillis().stream())
        .min();
  }
}
