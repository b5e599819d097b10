package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.EndpointId;

/** Holds the health of all endpoints. */
public final class EndpointHealthRegistry {

  private final Map<EndpointId, EndpointHealth> endpoints = new HashMap<>();

  private EndpointHealthRegistry() {}

  /**
   * Returns an empty registry.
   *
   * @return the registry
   */
  public static EndpointHealthRegistry create() {
    return new EndpointHealthRegistry();
  }

  /**
   * Returns the health of an endpoint, creating it if it does not exist.
   *
   * @param endpoint the endpoint
   * @return its mutable health
   */
  public EndpointHealth get(EndpointId endpoint) {
    return endpoints.computeIfAbsent(endpoint, id -> EndpointHealth.initial());
  }

  /**
   * Returns the endpoints that are unreachable, as observed here or reported by another instance.
   *
   * @return their ids
   */
  public Set<EndpointId> unreachable() {
    return matching(EndpointHealth::isUnreachable);
  }

  /**
   * Returns the endpoints that this instance itself failed to reach.
   *
   * @return their ids
   */
  public Set<EndpointId> locallyUnreachable() {
    return matching(EndpointHealth::isLocallyUnreachable);
  }

  private Set<EndpointId> matching(Predicate<EndpointHealth> condition) {
    return endpoints.entrySet().stream()
        .filter(entry -> condition.test(entry.getValue()))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Removes an endpoint that has left or restarted.
   *
   * @param endpoint the endpoint
   */
  public void forget(EndpointId endpoint) {
    endpoints.remove(endpoint);
  }
}
