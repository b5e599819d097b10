package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
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
   * Forgets an endpoint that has left or started anew.
   *
   * @param endpoint the endpoint
   */
  public void forget(EndpointId endpoint) {
    endpoints.remove(endpoint);
  }
}
