package org.knapweedcleat.core.room;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Knows, for one configuration, the services whose streamed routes differ in the ranks that their
 * calls can have. Only the calls of these services are ordered by an {@link AdmissionQueue}.
 */
public final class ServiceRanks {

  /** The ranks before a configuration is known. */
  public static final ServiceRanks NONE = new ServiceRanks();

  private final Set<ServiceId> ranked = new HashSet<>();

  private ServiceRanks() {}

  private ServiceRanks(RoutingContent content) {
    Set<Integer> accountRanks = new HashSet<>();
    boolean routeRankApplies = !content.requiresKeys();
    for (AccountQuota account : content.accounts()) {
      if (account.priority() == AccountQuota.ROUTE_PRIORITY) {
        routeRankApplies = true;
      } else {
        accountRanks.add(account.priority());
      }
    }
    Map<ServiceId, Set<Set<Integer>>> ranks = new HashMap<>();
    for (ForwardRoute route : content.routes()) {
      if (!route.kind().isStreamed()) {
        continue;
      }
      Set<Integer> routeRanks = new HashSet<>(accountRanks);
      if (routeRankApplies || route.open()) {
        routeRanks.add(route.priority());
      }
      route
          .shares()
          .forEach(
              share ->
                  ranks.computeIfAbsent(share.service(), id -> new HashSet<>()).add(routeRanks));
    }
    ranks.forEach(
        (service, values) -> {
          if (values.size() > 1) {
            ranked.add(service);
          }
        });
  }

  /**
   * Returns the ranks of a configuration.
   *
   * @param content the configuration
   * @return the ranks
   */
  public static ServiceRanks of(RoutingContent content) {
    return new ServiceRanks(content);
  }

  /**
   * Returns whether the streamed routes of a service differ in rank.
   *
   * @param service the service
   * @return false if all routes have the same ranks, or the service has no streams
   */
  public boolean differ(ServiceId service) {
    return ranked.contains(service);
  }

  /**
   * Returns the rank of a call.
   *
   * @param route its route
   * @param account its account, whose priority overrides that of the route
   * @return the rank; 0 is the most urgent
   */
  public static int rank(ForwardRoute route, Optional<AccountQuota> account) {
    return account
        .map(AccountQuota::priority)
        .filter(priority -> priority != AccountQuota.ROUTE_PRIORITY)
        .orElse(route.priority());
  }
}
