package org.knapweedcleat.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;

/** Hash indexes over a fleet document for the lookups made on each request. */
final class FleetIndex {

  private final Map<String, Map<String, RouteSpec>> routesByPath = new HashMap<>();
  private final Map<PoolId, Map<FailureDomainId, List<EndpointSpec>>> endpointsByPool =
      new HashMap<>();

  private FleetIndex() {}

  static FleetIndex of(List<RouteSpec> routes, Collection<EndpointSpec> endpoints) {
    FleetIndex index = new FleetIndex();
    routes.forEach(index::addRoute);
    endpoints.stream()
        .sorted(Comparator.comparing(EndpointSpec::id))
        .forEachOrdered(index::addEndpoint);
    index.freezeEndpoints();
    return index;
  }

  Optional<RouteSpec> route(String method, String path) {
    return Optional.ofNullable(routesByPath.getOrDefault(path, Map.of()).get(method));
  }

  List<EndpointSpec> endpoints(PoolId pool, FailureDomainId domain) {
    return endpointsByPool.getOrDefault(pool, Map.of()).getOrDefault(domain, List.of());
  }

  private void addRoute(RouteSpec route) {
    routesByPath
        .computeIfAbsent(route.path(), path -> new HashMap<>())
        .putIfAbsent(route.method(), route);
  }

  private void addEndpoint(EndpointSpec endpoint) {
    endpointsByPool
        .computeIfAbsent(endpoint.pool(), pool -> new HashMap<>())
        .computeIfAbsent(endpoint.domain(), domain -> new ArrayList<>())
        .add(endpoint);
  }

  private void freezeEndpoints() {
    endpointsByPool
        .values()
        .forEach(domains -> domains.replaceAll((domain, endpoints) -> List.copyOf(endpoints)));
  }
}
