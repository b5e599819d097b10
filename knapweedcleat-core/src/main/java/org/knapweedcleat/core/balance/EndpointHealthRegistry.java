package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.EndpointId;

/** The health of all endpoints. */
public final class EndpointHealthRegistry {

  private final Map<EndpointId, EndpointHealth> endpoints = new HashMap<>();

  private EndpointHealthRegistry() {}

  /**
   * Returns an empty book.
   *
   * @return the book
   */
  public static EndpointHealthRegistry create() {
    return new EndpointHealthRegistry();
  }

  /**
   * Returns the health of an endpoint.
   *
   * @param endpoint the endpoint
   * @return its health, which changes with what is noted
   */
  public EndpointHealth get(EndpointId endpoint) {
    return endpoints.computeIfAbsent(endpoint, id -> EndpointHealth.initial());
  }

  /**
   * Lists the endpoints that could not be reached, by this instance or another.
   *
   * @return their ids
   */
  public Set<EndpointId> unreachable() {
    return matching(EndpointHealth::isUnreachable);
  }

  /**
   * Lists the endpoints that this instance itself could not reach.
   *
   * @return their ids
   */
  public Set<EndpointId> locallyUnreachable() {
    return matching(EndpointHealth::isLocallyUnreachable);
  }

  private Set<EndpointId> matching(Predicate<EndpointHealth> condition) {
    return endpoints.entrySet().stream()
        .filter(known -> condition.test(known.getValue()))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Forgets an endpoint that has left or started anew.
   *
   * @param endpoint the endpoint
   */
  public void forget(EndpointId endpoint) {
    endpoints.remove(endpoint);
  }
}
