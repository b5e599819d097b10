package org.knapweedcleat.core.room;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.ServiceId;

/**
 * The ranks of calls in one configuration, and the services whose streamed routes differ in the
 * ranks that their calls can have. Only the calls of these services are ordered by an {@link
 * AdmissionQueue}.
 *
 * <p>The priority of an account takes precedence; calls of accounts with equal priorities rank by
 * their routes.
 */
public final class ServiceRanks {

  /** The ranks before a configuration is known. */
  public static final ServiceRanks NONE = new ServiceRanks(List.of(), Set.of(), true);

  private final Map<ServiceId, List<Priorities>> ranked = new HashMap<>();

  /** The priorities of an account and a route, in order of urgency. */
  private record Priorities(int account, int route) implements Comparable<Priorities> {

    static Priorities of(ForwardRoute route, Optional<AccountQuota> account) {
      return new Priorities(priority(route, account), route.priority());
    }

    @Override
    public int compareTo(Priorities other) {
      int byAccount = Integer.compare(account, other.account);
      return byAccount == 0 ? Integer.compare(route, other.route) : byAccount;
    }
  }

  private ServiceRanks(
      List<ForwardRoute> streamedRoutes,
      Set<Optional<AccountQuota>> accounts,
      boolean allowsNoAccount) {
    Map<ServiceId, Set<Set<Priorities>>> possible = new HashMap<>();
    for (ForwardRoute route : streamedRoutes) {
      Set<Priorities> ofRoute = new HashSet<>();
      accounts.forEach(account -> ofRoute.add(Priorities.of(route, account)));
      if (allowsNoAccount || route.open()) {
        ofRoute.add(Priorities.of(route, Optional.empty()));
      }
      route
          .shares()
          .forEach(
              share ->
                  possible.computeIfAbsent(share.service(), id -> new HashSet<>()).add(ofRoute));
    }
    possible.forEach(
        (service, ofRoutes) -> {
          if (ofRoutes.size() > 1) {
            Set<Priorities> all = new TreeSet<>();
            ofRoutes.forEach(all::addAll);
            ranked.put(service, new ArrayList<>(all));
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
    return new ServiceRanks(
        content.routes().stream().filter(route -> route.kind().isStreamed()).toList(),
        content.accounts().stream().map(Optional::of).collect(Collectors.toSet()),
        !content.requiresKeys());
  }

  /**
   * Returns whether the streamed routes of a service differ in rank.
   *
   * @param service the service
   * @return false if all routes have the same ranks, or the service has no streams
   */
  public boolean differ(ServiceId service) {
    return ranked.containsKey(service);
  }

  /**
   * Returns the rank of a call.
   *
   * @param service its service
   * @param route its route
   * @param account its account, if it has one
   * @return the rank, counted from 0 for the most urgent calls of the service; the priority of the
   *     account or route if the service's routes do not differ in rank
   */
  public int rank(ServiceId service, ForwardRoute route, Optional<AccountQuota> account) {
    List<Priorities> ranks = ranked.get(service);
    if (ranks == null) {
      return priority(route, account);
    }
    int index = Collections.binarySearch(ranks, Priorities.of(route, account));
    return index >= 0 ? index : -index - 1;
  }

  private static int priority(ForwardRoute route, Optional<AccountQuota> account) {
    return account
        .map(AccountQuota::priority)
        .filter(priority -> priority != AccountQuota.ROUTE_PRIORITY)
        .orElse(route.priority());
  }
}
