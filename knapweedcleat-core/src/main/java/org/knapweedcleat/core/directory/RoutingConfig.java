package org.knapweedcleat.core.directory;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.ServiceId;

/** Immutable index of one version of the published routes, services and accounts. */
public final class RoutingConfig {

  private final RoutingContent content;
  private final Map<String, List<ForwardRoute>> routesByHost;
  private final Map<ServiceId, ServiceProfile> services;
  private final Map<KeyDigest, AccountQuota> accountsByKey = new HashMap<>();

  private RoutingConfig(RoutingContent content) {
    this.content = content;
    Comparator<ForwardRoute> longestFirst =
        Comparator.comparingInt(route -> -route.pathPrefix().length());
    this.routesByHost =
        content.routes().stream()
            .sorted(longestFirst)
            .collect(Collectors.groupingBy(ForwardRoute::host));
    this.services =
        content.services().stream()
            .collect(Collectors.toMap(ServiceProfile::service, one -> one, (one, other) -> other));
    for (AccountQuota account : content.accounts()) {
      account.keys().forEach(key -> accountsByKey.put(key, account));
    }
  }

  /**
   * Returns a configuration.
   *
   * @param content the published content
   * @return the configuration
   */
  public static RoutingConfig of(RoutingContent content) {
    return new RoutingConfig(content);
  }

  /**
   * Returns the published content.
   *
   * @return the content
   */
  public RoutingContent content() {
    return content;
  }

  /**
   * Returns the version.
   *
   * @return a number that increases with each version
   */
  public long version() {
    return content.version();
  }

  /**
   * Finds the route of a call, which is the one with the longest matching path prefix on its host.
   *
   * @param host the host without a port
   * @param path the path without a query
   * @return the route, or empty if none matches
   */
  public Optional<ForwardRoute> findRoute(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /**
   * Finds a service.
   *
   * @param service its id
   * @return the service, or empty if it is not published
   */
  public Optional<ServiceProfile> findService(ServiceId service) {
    return Optional.ofNullable(services.get(service));
  }

  /**
   * Finds the account of a key.
   *
   * @param key the digest of the key
   * @return the account, or empty if the key is unknown
   */
  public Optional<AccountQuota> findAccount(KeyDigest key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /**
   * Returns whether calls need a key unless their route is open.
   *
   * @return true if the configuration has accounts
   */
  public boolean requiresKeys() {
    return content.requiresKeys();
  }

  /**
   * Returns the limits on requests.
   *
   * @return the limits
   */
  public RequestLimits requestLimits() {
    return content.requestLimits();
  }
}
