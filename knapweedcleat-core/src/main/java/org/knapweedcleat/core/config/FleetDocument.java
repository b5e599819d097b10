package org.knapweedcleat.core.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * The published document, checked and immutable; every reference in it resolves.
 *
 * @param name the deployment's name
 * @param regions the regions by id
 * @param domains the failure domains by id
 * @param links the links between regions
 * @param pools the pools by id
 * @param services the services by id
 * @param routes the routes
 * @param accounts the client accounts by id
 * @param keys the keys
 * @param endpoints the endpoints by id
 */
public record FleetDocument(
    String name,
    Map<RegionId, RegionSpec> regions,
    Map<FailureDomainId, FailureDomainSpec> domains,
    List<LinkSpec> links,
    Map<PoolId, PoolSpec> pools,
    Map<ServiceId, ServiceSpec> services,
    List<RouteSpec> routes,
    Map<AccountId, AccountSpec> accounts,
    List<KeySpec> keys,
    Map<EndpointId, EndpointSpec> endpoints) {

  /** Copies the collections. */
  public FleetDocument {
    regions = Map.copyOf(regions);
    domains = Map.copyOf(domains);
    links = List.copyOf(links);
    pools = Map.copyOf(pools);
    services = Map.copyOf(services);
    routes = List.copyOf(routes);
    accounts = Map.copyOf(accounts);
    keys = List.copyOf(keys);
    endpoints = Map.copyOf(endpoints);
  }

  /**
   * Finds the route for a caller's request.
   *
   * @param method the HTTP method, in capitals
   * @param path the path without its query
   * @return the route, if one is declared
   */
  public Optional<RouteSpec> route(String method, String path) {
    return routes.stream()
        .filter(route -> route.method().equals(method) && route.path().equals(path))
        .findFirst();
  }

  /**
   * Lists the endpoints of a pool in one failure domain, in the order of their ids.
   *
   * @param pool the pool
   * @param domain the failure domain
   * @return the endpoints, leaving ones included
   */
  public List<EndpointSpec> endpoints(PoolId pool, FailureDomainId domain) {
    return endpoints.values().stream()
        .filter(endpoint -> endpoint.pool().equals(pool) && endpoint.domain().equals(domain))
        .sorted((one, other) -> one.id().compareTo(other.id()))
        .toList();
  }
}
