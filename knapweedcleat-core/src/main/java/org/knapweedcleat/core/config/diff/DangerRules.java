package org.knapweedcleat.core.config.diff;

import io.vavr.collection.List;
import io.vavr.control.Option;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.ApiKeySpec;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.LinkSpec;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;

/** Determines the dangers of a change to a section. */
final class DangerRules {

  private DangerRules() {}

  /** Returns the rule for client accounts, whose shares depend on the set of failure domains. */
  static BiFunction<AccountSpec, AccountSpec, List<Danger>> account(
      FleetDocument oldDocument, FleetDocument newDocument) {
    return (before, after) ->
        account(before, after)
            .appendAll(
                dangers(
                    List.of(
                        when(
                            lowersShare(oldDocument, before, newDocument, after),
                            Danger.DOMAIN_SHARE_LOWERED))));
  }

  private static List<Danger> account(AccountSpec before, AccountSpec after) {
    return dangers(
        List.of(
            when(after.rateTokensPerSecond() < before.rateTokensPerSecond(), Danger.LIMIT_LOWERED),
            when(after.burstTokens() < before.burstTokens(), Danger.LIMIT_LOWERED),
            when(after.weight() < before.weight(), Danger.LIMIT_LOWERED)));
  }

  static List<Danger> key(ApiKeySpec before, ApiKeySpec after) {
    boolean same =
        before.digest().equals(after.digest()) && before.account().equals(after.account());
    return dangers(List.of(when(!same, Danger.KEY_CHANGED)));
  }

  static List<Danger> endpoint(EndpointSpec before, EndpointSpec after) {
    return dangers(
        List.of(
            when(
                before.state().acceptsNewWork() && !after.state().acceptsNewWork(),
                Danger.ENDPOINT_LEAVING),
            when(!location(before).equals(location(after)), Danger.ENDPOINT_MOVED),
            when(after.memoryPieces() < before.memoryPieces(), Danger.ENDPOINT_SHRUNK),
            when(after.checksFencing() != before.checksFencing(), Danger.FENCING_CHANGED)));
  }

  static List<Danger> route(RouteSpec before, RouteSpec after) {
    boolean moved = !before.method().equals(after.method()) || !before.path().equals(after.path());
    return dangers(
        List.of(
            when(after.open() && !before.open(), Danger.ROUTE_OPENED),
            when(before.open() && !after.open(), Danger.ROUTE_CLOSED),
            when(moved || !before.service().equals(after.service()), Danger.ROUTE_MOVED),
            when(
                after.safety().allowsResend() && !before.safety().allowsResend(),
                Danger.SAFETY_LOOSENED)));
  }

  static List<Danger> newRoute(RouteSpec route) {
    return dangers(List.of(when(route.open(), Danger.ROUTE_OPENED)));
  }

  static List<Danger> service(ServiceSpec before, ServiceSpec after) {
    boolean tightened =
        after.deadlineMillis() < before.deadlineMillis()
            || after.queueLimit() < before.queueLimit()
            || after.priority() < before.priority();
    boolean unconfirmedLonger = after.unconfirmedKeyMillis() > before.unconfirmedKeyMillis();
    return dangers(
        List.of(
            when(tightened, Danger.SERVICE_TIGHTENED),
            when(unconfirmedLonger, Danger.UNCONFIRMED_KEYS_LONGER),
            when(!before.pool().equals(after.pool()), Danger.POOL_CHANGED)));
  }

  static List<Danger> pool(PoolSpec before, PoolSpec after) {
    boolean same = before.kind() == after.kind() && before.model().equals(after.model());
    return dangers(List.of(when(!same, Danger.POOL_CHANGED)));
  }

  static List<Danger> link(LinkSpec before, LinkSpec after) {
    return dangers(
        List.of(
            when(
                after.rateKilobitsPerSecond() < before.rateKilobitsPerSecond(),
                Danger.TOPOLOGY_CHANGED)));
  }

  static List<Danger> domain(FailureDomainSpec before, FailureDomainSpec after) {
    return dangers(List.of(when(!before.region().equals(after.region()), Danger.TOPOLOGY_CHANGED)));
  }

  private static boolean lowersShare(
      FleetDocument oldDocument, AccountSpec before, FleetDocument newDocument, AccountSpec after) {
    return List.ofAll(oldDocument.domains().keySet())
        .exists(
            domain ->
                newDocument.domainShare(after, domain) < oldDocument.domainShare(before, domain));
  }

  private static List<Object> location(EndpointSpec endpoint) {
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
