package org.knapweedcleat.core.directory.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.knapweedcleat.core.directory.check.ConfigFixture.HOST;
import static org.knapweedcleat.core.directory.check.ConfigFixture.account;
import static org.knapweedcleat.core.directory.check.ConfigFixture.content;
import static org.knapweedcleat.core.directory.check.ConfigFixture.kinds;
import static org.knapweedcleat.core.directory.check.ConfigFixture.route;
import static org.knapweedcleat.core.directory.check.ConfigFixture.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.directory.RoutingContent;

class UnusedEntryFinderTest {

  @Test
  void findsNothingWhereEveryEntryIsUsed() {
    RoutingContent content = content(route("all", "/"), route("book", "/book/"));

    assertThat(UnusedEntryFinder.find(content), is(empty()));
  }

  /** Guards against rules of coverage that differ from the router's choice of routes. */
  @Property(seed = "17", tries = 500)
  void coveredRoutesAreThoseThatTheRouterNeverChooses(@ForAll long seed) {
    Random random = new Random(seed);
    List<String> segments = List.of("/", "/a/", "/b/", "/a/a/", "/a/b/", "/b/a/");
    List<String> hosts = List.of(HOST, "other.example");
    List<ForwardRoute> routes = new ArrayList<>();
    for (int i = random.nextInt(12); i >= 0; i--) {
      String host = hosts.get(random.nextInt(hosts.size()));
      String prefix = segments.get(random.nextInt(segments.size()));
      routes.add(route("r" + i, host, prefix, share("desk", 1)));
    }
    RoutingContent content = content(routes.toArray(ForwardRoute[]::new));

    RoutingConfig config = RoutingConfig.of(content);
    Set<String> chosen =
        hosts.stream()
            .flatMap(
                host -> segments.stream().flatMap(path -> config.findRoute(host, path).stream()))
            .map(ForwardRoute::name)
            .collect(Collectors.toSet());
    Set<String> covered =
        UnusedEntryFinder.find(content).stream()
            .filter(finding -> finding.kind() == FindingKind.COVERED_ROUTE)
            .map(finding -> finding.entry().name())
            .collect(Collectors.toSet());

    Set<String> expected = routes.stream().map(ForwardRoute::name).collect(Collectors.toSet());
    expected.removeAll(chosen);
    assertThat(covered, is(expected));
  }

  @Test
  void findsHostsAndPathsThatNoCallHas() {
    RoutingContent content =
        content(
            route("upper", "H.example", "/", share("desk", 1)),
            route("port", "h.example:8080", "/", share("desk", 1)),
            route("relative", HOST, "book/", share("desk", 1)),
            route("query", HOST, "/book?day=1", share("desk", 1)));

    assertThat(
        kinds(UnusedEntryFinder.find(content)),
        contains(
            FindingKind.IMPOSSIBLE_ROUTE,
            FindingKind.IMPOSSIBLE_ROUTE,
            FindingKind.IMPOSSIBLE_ROUTE,
            FindingKind.IMPOSSIBLE_ROUTE));
  }

  @Test
  void findsUnlistedServicesAndEmptyShares() {
    List<Finding> findings =
        UnusedEntryFinder.find(
            content(
                route("split", HOST, "/a/", share("desk", 90), share("desk", 0)),
                route("lost", HOST, "/b/", share("gone", 1)),
                route("none", HOST, "/c/", share("desk", 0))));

    assertThat(
        kinds(findings),
        contains(FindingKind.EMPTY_SHARE, FindingKind.UNKNOWN_SERVICE, FindingKind.EMPTY_SHARE));
    assertThat(findings.get(0).text(), not(containsString("first one")));
    assertThat(findings.get(2).text(), containsString("the first one gets all calls"));
  }

  @Test
  void findsServicesThatAreListedAgain() {
    RoutingContent content =
        new RoutingContent(
            7,
            List.of(),
            List.of(ConfigFixture.DESK, ConfigFixture.service("desk", 10)),
            false,
            List.of(),
            ConfigFixture.LIMITS);

    List<Finding> findings = UnusedEntryFinder.find(content);

    assertThat(kinds(findings), contains(FindingKind.REPEATED_SERVICE));
    assertThat(findings.get(0).entry().index(), is(0));
  }

  /** Guards against a report at the account that keeps the key, and against a key in the text. */
  @Test
  void findsSharedKeysAtTheAccountThatLosesThem() {
    List<Finding> findings =
        UnusedEntryFinder.find(
            content(account("families", "k1", "k2"), account("kiosk", "k2"), account("none")));

    assertThat(kinds(findings), contains(FindingKind.SHARED_KEY, FindingKind.ACCOUNT_WITHOUT_KEYS));
    assertThat(findings.get(0).entry().name(), is("families"));
    assertThat(findings.get(0).text(), containsString("1 of its 2 keys also belong"));
    assertThat(findings.toString(), not(containsString("k2")));
    assertThat(findings.toString(), not(containsString(KeyDigest.ofKey("k2").toString())));
  }

  @Test
  void findsClosedRoutesWithoutAnyKey() {
    assertThat(
        kinds(UnusedEntryFinder.find(content(account("none")))),
        contains(FindingKind.ACCOUNT_WITHOUT_KEYS, FindingKind.NO_KEYS_AT_ALL));
  }
}
