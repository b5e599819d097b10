package org.knapweedcleat.core.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/** The validated configuration of a fleet; immutable, with all references resolved. */
public final class FleetDocument {

  private final String name;
  private final Map<RegionId, RegionSpec> regions;
  private final Map<FailureDomainId, FailureDomainSpec> domains;
  private final List<LinkSpec> links;
  private final Map<PoolId, PoolSpec> pools;
  private final Map<ServiceId, ServiceSpec> services;
  private final List<RouteSpec> routes;
  private final Map<AccountId, AccountSpec> accounts;
  private final List<ApiKeySpec> keys;
  private final Map<EndpointId, EndpointSpec> endpoints;
  private final Optional<TeamId> team;
  private final FleetIndex index;

  /**
   * Creates a document whose deployment has no owning team.
   *
   * @param name the deployment's name
   * @param regions the regions by id
   * @param domains the failure domains by id
   * @param links the links between regions
   * @param pools the pools by id
   * @param services the services by id
   * @param routes the routes
   * @param accounts the client accounts by id
   * @param keys the API keys
   * @param endpoints the endpoints by id
   */
  public FleetDocument(
      String name,
      Map<RegionId, RegionSpec> regions,
      Map<FailureDomainId, FailureDomainSpec> domains,
      List<LinkSpec> links,
      Map<PoolId, PoolSpec> pools,
      Map<ServiceId, ServiceSpec> services,
      List<RouteSpec> routes,
      Map<AccountId, AccountSpec> accounts,
      List<ApiKeySpec> keys,
      Map<EndpointId, EndpointSpec> endpoints) {
    this(
        name,
        regions,
        domains,
        links,
        pools,
        services,
        routes,
        accounts,
        keys,
        endpoints,
        Optional.empty());
  }

  private FleetDocument(
      String name,
      Map<RegionId, RegionSpec> regions,
      Map<FailureDomainId, FailureDomainSpec> domains,
      List<LinkSpec> links,
      Map<PoolId, PoolSpec> pools,
      Map<ServiceId, ServiceSpec> services,
      List<RouteSpec> routes,
      Map<AccountId, AccountSpec> accounts,
      List<ApiKeySpec> keys,
      Map<EndpointId, EndpointSpec> endpoints,
      Optional<TeamId> team) {
    this.name = Objects.requireNonNull(name, "name");
    this.regions = Map.copyOf(regions);
    this.domains = Map.copyOf(domains);
    this.links = List.copyOf(links);
    this.pools = Map.copyOf(pools);
    this.services = Map.copyOf(services);
    this.routes = List.copyOf(routes);
    this.accounts = Map.copyOf(accounts);
    this.keys = List.copyOf(keys);
    this.endpoints = Map.copyOf(endpoints);
    this.team = team;
    this.index = FleetIndex.of(this.routes, this.endpoints.values());
  }

  /**
   * Returns a copy with the team that owns the deployment section.
   *
   * @param owner the owning team
   * @return the copy
   */
  public FleetDocument withTeam(TeamId owner) {
    return new FleetDocument(
        name,
        regions,
        domains,
        links,
        pools,
        services,
        routes,
        accounts,
        keys,
        endpoints,
        Optional.of(owner));
  }

  /**
   * Returns the deployment's name.
   *
   * @return the deployment's name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the regions by id.
   *
   * @return the regions by id
   */
  public Map<RegionId, RegionSpec> regions() {
    return regions;
  }

  /**
   * Returns the failure domains by id.
   *
   * @return the failure domains by id
   */
  public Map<FailureDomainId, FailureDomainSpec> domains() {
    return domains;
  }

  /**
   * Returns the links between regions.
   *
   * @return the links between regions
   */
  public List<LinkSpec> links() {
    return links;
  }

  /**
   * Returns the pools by id.
   *
   * @return the pools by id
   */
  public Map<PoolId, PoolSpec> pools() {
    return pools;
  }

  /**
   * Returns the services by id.
   *
   * @return the services by id
   */
  public Map<ServiceId, ServiceSpec> services() {
    return services;
  }

  /**
   * Returns the routes.
   *
   * @return the routes
   */
  public List<RouteSpec> routes() {
    return routes;
  }

  /**
   * Returns the client accounts by id.
   *
   * @return the client accounts by id
   */
  public Map<AccountId, AccountSpec> accounts() {
    return accounts;
  }

  /**
   * Returns the API keys.
   *
   * @return the API keys
   */
  public List<ApiKeySpec> keys() {
    return keys;
  }

  /**
   * Returns the team that owns the deployment section.
   *
   * @return the team, if known
   */
  public Optional<TeamId> team() {
    return team;
  }

  /**
   * Finds the route of a request.
   *
   * @param method the HTTP method in upper case
   * @param path the path without the query
   * @return the route, if there is one
   */
  public Optional<RouteSpec> route(String method, String path) {
    return index.route(method, path);
  }

  /**
   * Returns the endpoints by id.
   *
   * @return the endpoints by id
   */
  public Map<EndpointId, EndpointSpec> endpoints() {
    return endpoints;
  }

  /**
   * Lists the endpoints of a pool in a failure domain, ordered by id.
   *
   * @param pool the pool
   * @param domain the failure domain
   * @return the endpoints, including leaving ones
   */
  public List<EndpointSpec> endpoints(PoolId pool, FailureDomainId domain) {
    return index.endpoints(pool, domain);
  }

  /**
   * Returns the fraction of a client account's rate and burst assigned to a failure domain.
   *
   * @param account the client account
   * @param domain the failure domain
   * @return a value from 0 to 1; 0 for an unknown failure domain
   */
  public double domainShare(AccountSpec account, FailureDomainId domain) {
    if (!domains.containsKey(domain)) {
      return 0;
    }
    int total = account.domainWeights().values().stream().mapToInt(Integer::intValue).sum();
    return account.domainWeights().isEmpty()
        ? 1.0 / domains.size()
        : account.domainWeights().getOrDefault(domain, 0) / (double) Math.max(1, total);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof FleetDocument document && fields().equals(document.fields());
  }

  @Override
  public int hashCode() {
    return fields().hashCode();
  }

  @Override
  public String toString() {
    return "FleetDocument[" + name + "]";
  }

  private List<Object> fields() {
    return List.of(
        name, regions, domains, links, pools, services, routes, accounts, keys, endpoints, team);
  }
}
