package org.knapweedcleat.core.throttle;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.collection.BoundedMap;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;

/**
 * The endpoints that are cold, as observed by this and other instances. A time never shortens:
 * entries, responses and messages may overtake each other, and an endpoint loses more by too many
 * requests than by a few too little.
 */
public final class ColdEndpoints {

  /** A report of more endpoints, of some 35 bytes each, would be longer than other messages. */
  private static final int MAX_REPORTED = 100;

  /** Statements of the same time differ by this much, depending on how long they travelled. */
  private static final long TOLERANCE_MILLIS = 250;

  /** Far more than the endpoints of any deployment; the oldest entries are dropped. */
  private static final int MAX_ENTRIES = 4_000;

  private final Map<EndpointIncarnation, ColdObservation> latest = BoundedMap.of(MAX_ENTRIES);

  private ColdEndpoints() {}

  /**
   * Returns a registry by which no endpoint is cold.
   *
   * @return the registry
   */
  public static ColdEndpoints create() {
    return new ColdEndpoints();
  }

  /**
   * Records an observation, unless the endpoint is known to be cold for longer.
   *
   * @param observation the observation
   * @return true if the endpoint was not cold before
   */
  public boolean record(ColdObservation observation) {
    if (observation.untilMillis() <= observation.observedAtMillis()) {
      return false;
    }
    ColdObservation previous = latest.get(observation.endpoint());
    if (previous != null
        && observation.untilMillis() <= previous.untilMillis() + TOLERANCE_MILLIS) {
      return false;
    }
    latest.put(observation.endpoint(), observation);
    return previous == null || previous.untilMillis() <= observation.observedAtMillis();
  }

  /**
   * Returns whether an endpoint is cold.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @return true if only a few requests may be sent to it
   */
  public boolean isCold(long nowMillis, EndpointIncarnation endpoint) {
    if (latest.isEmpty()) {
      return false;
    }
    ColdObservation observation = latest.get(endpoint);
    if (observation == null) {
      return false;
    }
    if (observation.untilMillis() <= nowMillis) {
      latest.remove(endpoint);
      return false;
    }
    return true;
  }

  /**
   * Returns the observations to tell other instances, the latest ones first. They are told for as
   * long as the endpoint is cold, since instances that start meanwhile may not read the store.
   *
   * @param nowMillis the current time
   * @param sources whose observations to return
   * @return the observations
   */
  public List<ColdObservation> current(long nowMillis, Set<ObservationSource> sources) {
    if (latest.isEmpty()) {
      return List.of();
    }
    return latest.values().stream()
        .filter(observation -> sources.contains(observation.source()))
        .filter(observation -> observation.untilMillis() > nowMillis)
        .sorted(Comparator.comparingLong(ColdObservation::observedAtMillis).reversed())
        .limit(MAX_REPORTED)
        .toList();
  }
}
