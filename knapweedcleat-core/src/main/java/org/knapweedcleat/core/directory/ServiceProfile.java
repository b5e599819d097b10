package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.ServiceId;

/**
 * A published service.
 *
 * @param service the service
 * @param maxConnections the number of connections that each endpoint accepts from all callers
 *     together
 * @param engine the capacity of its engines; {@link EngineProfile#NONE} for a plain service
 * @param coldPerSecond the requests per second that an endpoint accepts while it is cold; 0 for no
 *     limit
 * @param coldStartMillis how long an endpoint stays cold after its start; 0 if unknown
 */
public record ServiceProfile(
    ServiceId service,
    int maxConnections,
    EngineProfile engine,
    double coldPerSecond,
    long coldStartMillis) {

  /**
   * Creates the profile of a service whose endpoints accept all requests while they are cold.
   *
   * @param service the service
   * @param maxConnections the number of connections that each endpoint accepts
   * @param engine the capacity of its engines
   */
  public ServiceProfile(ServiceId service, int maxConnections, EngineProfile engine) {
    this(service, maxConnections, engine, 0, 0);
  }
}
