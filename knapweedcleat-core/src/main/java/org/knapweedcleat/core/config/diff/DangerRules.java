package org.knapweedcleat.core.config.diff;

import io.vavr.collection.List;
import io.vavr.control.Option;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.ApiKeySpec;
import org.knapweedcleat.core.config.LinkSpec;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;

/** Finds what is dangerous about the change of one section. */
final class DangerRules {

  private DangerRules() {}

  /** Returns the rule for client accounts, whose shares depend on how many failure domains are. */
  static BiFunction<AccountSpec, AccountSpec, List<Danger>> account(
      FleetDocument old, FleetDocument now) {
    return (before, after) ->
        account(before, after)
            .appendAll(
                dangers(
                    List.of(
                        when(lowersShare(old, before, now, after), Danger.DOMAIN_SHARE_LOWERED))));
  }

  private static List<Danger> account(AccountSpec old, AccountSpec now) {
    return dangers(
        List.of(
            when(now.rateTokensPerSecond() < old.rateTokensPerSecond(), Danger.LIMIT_LOWERED),
            when(now.burstTokens() < old.burstTokens(), Danger.LIMIT_LOWERED),
            when(now.weight() < old.weight(), Danger.LIMIT_LOWERED)));
  }

  static List<Danger> key(ApiKeySpec old, ApiKeySpec now) {
    boolean same = old.digest().equals(now.digest()) && old.account().equals(now.account());
    return dangers(List.of(when(!same, Danger.KEY_CHANGED)));
  }

  static List<Danger> endpoint(EndpointSpec old, EndpointSpec now) {
    return dangers(
        List.of(
            when(
                old.state().acceptsNewWork() && !now.state().acceptsNewWork(), Danger.ENDPOINT_LEAVING),
            when(!place(old).equals(place(now)), Danger.ENDPOINT_MOVED),
            when(now.memoryPieces() < old.memoryPieces(), Danger.ENDPOINT_SHRUNK),
            when(now.checksFencing() != old.checksFencing(), Danger.FENCING_CHANGED)));
  }

  static List<Danger> route(RouteSpec old, RouteSpec now) {
    boolean moved = !old.method().equals(now.method()) || !old.path().equals(now.path());
    return dangers(
        List.of(
            when(now.open() && !old.open(), Danger.ROUTE_OPENED),
            when(old.open() && !now.open(), Danger.ROUTE_CLOSED),
            when(moved || !old.service().equals(now.service()), Danger.ROUTE_MOVED),
            when(
                now.safety().allowsResend() && !old.safety().allowsResend(),
                Danger.SAFETY_LOOSENED)));
  }

  static List<Danger> newRoute(RouteSpec now) {
    return dangers(List.of(when(now.open(), Danger.ROUTE_OPENED)));
  }

  static List<Danger> service(ServiceSpec old, ServiceSpec now) {
    boolean tighter =
        now.deadlineMillis() < old.deadlineMillis()
            || now.queueLimit() < old.queueLimit()
            || now.priority() < old.priority();
    boolean longer = now.unconfirmedKeyMillis() > old.unconfirmedKeyMillis();
    return dangers(
        List.of(
            when(tighter, Danger.SERVICE_TIGHTENED),
            when(longer, Danger.UNCONFIRMED_KEYS_LONGER),
            when(!old.pool().equals(now.pool()), Danger.POOL_CHANGED)));
  }

  static List<Danger> pool(PoolSpec old, PoolSpec now) {
    boolean same = old.kind() == now.kind() && old.model().equals(now.model());
    return dangers(List.of(when(!same, Danger.POOL_CHANGED)));
  }

  static List<Danger> link(LinkSpec old, LinkSpec now) {
    return dangers(
        List.of(
            when(
                now.rateKilobitsPerSecond() < old.rateKilobitsPerSecond(),
                Danger.TOPOLOGY_CHANGED)));
  }

  static List<Danger> domain(FailureDomainSpec old, FailureDomainSpec now) {
    return dangers(List.of(when(!old.region().equals(now.region()), Danger.TOPOLOGY_CHANGED)));
  }

  private static boolean lowersShare(
      FleetDocument old, AccountSpec before, FleetDocument now, AccountSpec after) {
    return List.ofAll(old.domains().keySet())
        .exists(domain -> now.domainShare(after, domain) < old.domainShare(before, domain));
  }

  private static List<Object> place(EndpointSpec endpoint) {
    return List.of(
        endpoint.host(), endpoint.port(), endpoint.pool(), endpoint.role(), endpoint.domain());
  }

  private static List<Danger> dangers(List<Option<Danger>> findings) {
    return findings.flatMap(Function.identity()).distinct();
  }

  private static Option<Danger> when(boolean holds, Danger danger) {
    return Option.when(holds, danger);
  }
}
