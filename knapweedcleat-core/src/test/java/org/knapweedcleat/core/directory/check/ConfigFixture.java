package org.knapweedcleat.core.directory.check;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/** Parts of configurations in which nothing is wrong. */
final class ConfigFixture {

  static final String HOST = "h.example";
  static final ServiceProfile DESK = service("desk", 370);
  static final RequestLimits LIMITS = RequestLimits.INITIAL;

  private ConfigFixture() {}

  static RoutingContent content(ForwardRoute... routes) {
    return content(7, List.of(routes), List.of(account("families", "k1")), LIMITS);
  }

  static RoutingContent content(AccountQuota... accounts) {
    return content(7, List.of(route("book", "/book/")), List.of(accounts), LIMITS);
  }

  static RoutingContent content(
      long version, List<ForwardRoute> routes, List<AccountQuota> accounts, RequestLimits limits) {
    return new RoutingContent(version, routes, List.of(DESK), true, accounts, limits);
  }

  static ForwardRoute route(String name, String prefix) {
    return route(name, HOST, prefix, share("desk", 1));
  }

  static ForwardRoute route(String name, String host, String prefix, ServiceShare... shares) {
    return new ForwardRoute(
        name,
        host,
        prefix,
        CallKind.UNSAFE,
        false,
        false,
        5_000,
        900,
        300,
        1,
        0,
        List.of(shares),
        Set.of());
  }

  /** Returns a stream's route with the given times and runs. */
  static ForwardRoute stream(
      boolean resumable, long timeoutMillis, long targetMillis, long gapMillis, int maxRuns) {
    return new ForwardRoute(
        "note",
        HOST,
        "/note/",
        CallKind.STREAM,
        resumable,
        false,
        timeoutMillis,
        targetMillis,
        gapMillis,
        maxRuns,
        0,
        List.of(share("desk", 1)),
        Set.of(RegionId.of("north")));
  }

  static ServiceShare share(String service, long weight) {
    return new ServiceShare(ServiceId.of(service), weight);
  }

  static ServiceProfile service(String name, int maxConnections) {
    return new ServiceProfile(ServiceId.of(name), maxConnections, EngineProfile.NONE);
  }

  static AccountQuota account(String name, String... keys) {
    return account(name, 1_000, 200, 100, keys);
  }

  static AccountQuota account(
      String name, double rate, double burst, long callUnits, String... keys) {
    return new AccountQuota(
        AccountId.of(name),
        Stream.of(keys).map(KeyDigest::ofKey).collect(Collectors.toSet()),
        AccountQuota.ROUTE_PRIORITY,
        rate,
        burst,
        callUnits,
        Set.of());
  }

  static List<FindingKind> kinds(List<Finding> findings) {
    return findings.stream().map(Finding::kind).toList();
  }
}
