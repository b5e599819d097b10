package org.knapweedcleat.core.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.ServiceId;

/** Guards against ordering the calls of deployments that do not rank them. */
class ServiceRanksTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");

  @Test
  void routesWithOnePriorityDoNotDiffer() {
    assertThat(differ(List.of(route(CallKind.STREAM, 1), route(CallKind.STREAM, 1))), is(false));
  }

  @Test
  void streamedRoutesWithSeveralPrioritiesDiffer() {
    assertThat(differ(List.of(route(CallKind.STREAM, 0), route(CallKind.STREAM, 2))), is(true));
  }

  @Test
  void plainRoutesDoNotCount() {
    assertThat(differ(List.of(route(CallKind.STREAM, 0), route(CallKind.UNSAFE, 2))), is(false));
  }

  /** Accounts rank the calls of one route among themselves, which was never ordered. */
  @Test
  void accountsAloneDoNotMakeRoutesDiffer() {
    assertThat(
        differ(List.of(route(CallKind.STREAM, 1), route(CallKind.STREAM, 1)), account(0)),
        is(false));
  }

  /** Guards against routes that count for nothing where each account has a priority, too. */
  @Test
  void routesRankCallsOfAccountsWithOnePriority() {
    List<ForwardRoute> routes = List.of(route(CallKind.STREAM, 0), route(CallKind.STREAM, 2));
    ServiceRanks ranks = ranks(routes, account(1));

    assertThat(ranks.differ(SERVICE), is(true));
    assertThat(ranks.rank(SERVICE, routes.get(0), Optional.of(account(1))), is(0));
    assertThat(ranks.rank(SERVICE, routes.get(1), Optional.of(account(1))), is(1));
  }

  @Test
  void accountPriorityTakesPrecedenceOverThatOfRoute() {
    List<ForwardRoute> routes = List.of(route(CallKind.STREAM, 0), route(CallKind.STREAM, 2));
    ServiceRanks ranks = ranks(routes, account(0), account(1));

    assertThat(ranks.rank(SERVICE, routes.get(1), Optional.of(account(0))), is(1));
    assertThat(ranks.rank(SERVICE, routes.get(0), Optional.of(account(1))), is(2));
  }

  @Test
  void routePriorityCountsForAccountWithoutOne() {
    AccountQuota account = account(AccountQuota.ROUTE_PRIORITY);
    List<ForwardRoute> routes = List.of(route(CallKind.STREAM, 0), route(CallKind.STREAM, 2));
    ServiceRanks ranks = ranks(routes, account);

    assertThat(ranks.rank(SERVICE, routes.get(0), Optional.of(account)), is(0));
    assertThat(ranks.rank(SERVICE, routes.get(1), Optional.of(account)), is(1));
  }

  /** Guards against other priorities at engines where there is no order of admission. */
  @Test
  void priorityIsKeptWhereRoutesDoNotDiffer() {
    ForwardRoute route = route(CallKind.STREAM, 2);
    ServiceRanks ranks = ranks(List.of(route));

    assertThat(ranks.rank(SERVICE, route, Optional.empty()), is(2));
    assertThat(ranks.rank(SERVICE, route, Optional.of(account(0))), is(0));
    assertThat(
        ranks.rank(SERVICE, route, Optional.of(account(AccountQuota.ROUTE_PRIORITY))), is(2));
  }

  private static boolean differ(List<ForwardRoute> routes, AccountQuota... accounts) {
    return ranks(routes, accounts).differ(SERVICE);
  }

  private static ServiceRanks ranks(List<ForwardRoute> routes, AccountQuota... accounts) {
    return ServiceRanks.of(
        new RoutingContent(
            1, routes, List.of(), accounts.length > 0, List.of(accounts), RequestLimits.INITIAL));
  }

  private static AccountQuota account(int priority) {
    return new AccountQuota(AccountId.of("a" + priority), Set.of(), priority, 0, 0, 1, Set.of());
  }

  private static ForwardRoute route(CallKind kind, int priority) {
    return new ForwardRoute(
        "r" + priority,
        "h",
        "/" + priority + "/",
        kind,
        true,
        false,
        14_000,
        900,
        300,
        2,
        priority,
        List.of(new ServiceShare(SERVICE, 1)),
        Set.of());
  }
}
