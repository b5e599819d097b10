package org.knapweedcleat.core.directory.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedcleat.core.directory.check.ConfigFixture.account;
import static org.knapweedcleat.core.directory.check.ConfigFixture.content;
import static org.knapweedcleat.core.directory.check.ConfigFixture.kinds;
import static org.knapweedcleat.core.directory.check.ConfigFixture.route;
import static org.knapweedcleat.core.directory.check.ConfigFixture.service;
import static org.knapweedcleat.core.directory.check.ConfigFixture.stream;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

class ContradictionFinderTest {

  private static final Set<RegionId> NORTH = Set.of(RegionId.of("north"));

  /** Guards against warnings at values that are just allowed. */
  @Test
  void findsNothingAtTheBounds() {
    RoutingContent content =
        content(
            7,
            List.of(stream(true, 900, 900, 900, 2)),
            List.of(account("families", 1_000, 200, 200, "k1")),
            new RequestLimits(1, 0, 3_000, 3_000));

    assertThat(ContradictionFinder.find(content, NORTH), is(empty()));
  }

  @Test
  void findsTimesOverTheTimeout() {
    assertThat(
        kinds(ContradictionFinder.find(content(stream(true, 800, 900, 801, 1)), Set.of())),
        contains(FindingKind.TARGET_OVER_TIMEOUT, FindingKind.GAP_OVER_TIMEOUT));
    assertThat(
        kinds(ContradictionFinder.find(content(stream(true, 0, 0, 0, 1)), Set.of())),
        contains(FindingKind.NO_TIME));
  }

  @Test
  void findsSeveralRunsOfCallsThatMayNotRunTwice() {
    assertThat(
        kinds(ContradictionFinder.find(content(stream(false, 900, 900, 0, 2)), Set.of())),
        contains(FindingKind.RUNS_NOT_REPEATABLE));
  }

  @Test
  void findsQuotasBelowOneCall() {
    List<Finding> findings =
        ContradictionFinder.find(content(account("families", 100, 199, 200, "k1")), Set.of());

    assertThat(kinds(findings), contains(FindingKind.BURST_BELOW_CALL));
  }

  /** The route of the fixture has a timeout of 5 s; the account needs 5.1 s for one call. */
  @Test
  void findsRetryTimesOverTheLongestTimeout() {
    List<Finding> findings =
        ContradictionFinder.find(content(account("families", 10, 100, 51, "k1")), Set.of());

    assertThat(kinds(findings), contains(FindingKind.RETRY_OVER_TIMEOUT));
    assertThat(findings.get(0).text(), containsString("5100 ms"));
    assertThat(
        ContradictionFinder.find(content(account("families", 10, 100, 50, "k1")), Set.of()),
        is(empty()));
  }

  @Test
  void findsBurstsWithoutRate() {
    assertThat(
        kinds(ContradictionFinder.find(content(account("families", 0, 100, 1, "k1")), Set.of())),
        contains(FindingKind.BURST_WITHOUT_RATE));
    assertThat(
        ContradictionFinder.find(content(account("families", 0, 0, 1, "k1")), Set.of()),
        is(empty()));
  }

  @Test
  void findsServicesWithoutCapacity() {
    EngineProfile engine = new EngineProfile(0, 34_035, 500, 13);
    RoutingContent content =
        new RoutingContent(
            7,
            List.of(),
            List.of(service("desk", 0), new ServiceProfile(ServiceId.of("notes"), 370, engine)),
            false,
            List.of(),
            ConfigFixture.LIMITS);

    assertThat(
        ContradictionFinder.find(content, Set.of()).stream().map(Finding::field).toList(),
        contains(ConfigField.MAX_CONNECTIONS, ConfigField.ENGINE_SLOTS));
  }

  @Test
  void findsLimitsThatContradictEachOther() {
    RoutingContent content =
        content(7, List.of(), List.of(), new RequestLimits(0, 4_096, 15_001, 15_000));

    assertThat(
        kinds(ContradictionFinder.find(content, Set.of())),
        contains(FindingKind.LIMIT_ADMITS_NONE, FindingKind.HEADER_OVER_IDLE));
  }

  /** Guards against warnings for all regions where the failure domains are not known. */
  @Test
  void findsRegionsWithoutFailureDomain() {
    RoutingContent content = content(stream(true, 900, 900, 0, 1));

    assertThat(
        kinds(ContradictionFinder.find(content, Set.of(RegionId.of("south")))),
        contains(FindingKind.UNKNOWN_REGION));
    assertThat(ContradictionFinder.find(content, Set.of()), is(empty()));
  }

  @Test
  void findsRepeatedNames() {
    List<Finding> findings =
        ContradictionFinder.find(content(route("a", "/a/"), route("a", "/b/")), Set.of());

    assertThat(kinds(findings), contains(FindingKind.REPEATED_NAME));
    assertThat(findings.get(0).entry().index(), is(1));
    assertThat(
        kinds(
            ContradictionFinder.find(
                content(account("families", "k1"), account("families", "k2")), Set.of())),
        contains(FindingKind.REPEATED_NAME));
  }
}
