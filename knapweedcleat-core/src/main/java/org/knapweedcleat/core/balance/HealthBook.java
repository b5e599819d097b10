package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.EndpointId;

/** The health of all endpoints. */
public final class HealthBook {

  private final Map<EndpointId, EndpointHealth> endpoints = new HashMap<>();

  private HealthBook() {}

  /**
   * Returns an empty book.
   *
   * @return the book
   */
  public static HealthBook create() {
    return new HealthBook();
  }

  /**
   * Returns the health of an endpoint.
   *
   * @param endpoint the endpoint
   * @return its health, which changes with what is noted
   */
  public EndpointHealth of(EndpointId endpoint) {
    return endpoints.computeIfAbsent(endpoint, id -> EndpointHealth.unknown());
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
  public Set<EndpointId> foundUnreachable() {
    return matching(EndpointHealth::isFoundUnreachable);
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
