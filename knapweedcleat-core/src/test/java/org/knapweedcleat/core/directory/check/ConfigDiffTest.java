package org.knapweedcleat.core.directory.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.knapweedcleat.core.directory.check.ConfigFixture.HOST;
import static org.knapweedcleat.core.directory.check.ConfigFixture.LIMITS;
import static org.knapweedcleat.core.directory.check.ConfigFixture.account;
import static org.knapweedcleat.core.directory.check.ConfigFixture.content;
import static org.knapweedcleat.core.directory.check.ConfigFixture.route;
import static org.knapweedcleat.core.directory.check.ConfigFixture.share;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;

class ConfigDiffTest {

  @Test
  void equalVersionsDoNotDiffer() {
    RoutingContent content = content(route("a", "/a/"), route("b", "/b/"));

    assertThat(ConfigDiff.between(content, content), is(empty()));
  }

  @Test
  void listsAddedRemovedAndChangedEntries() {
    RoutingContent before = content(route("a", "/a/"), route("b", "/b/"));
    RoutingContent after = content(route("b", "/b/c/"), route("d", "/d/"));

    List<ConfigChange> changes = ConfigDiff.between(before, after);

    assertThat(
        changes,
        contains(
            new ConfigChange(ConfigChange.Kind.REMOVED, entry(0, "a"), List.of()),
            new ConfigChange(
                ConfigChange.Kind.CHANGED,
                entry(0, "b"),
                List.of(new FieldChange(ConfigField.PATH_PREFIX, "/b/", "/b/c/"))),
            new ConfigChange(ConfigChange.Kind.ADDED, entry(1, "d"), List.of())));
  }

  /** Guards against differences in entries of which only the order or the scale has changed. */
  @Test
  void orderAndScaleAreNoDifference() {
    RoutingContent before =
        content(route("a", HOST, "/a/", share("x", 9), share("y", 1)), route("b", "/b/"));
    RoutingContent after =
        content(route("b", "/b/"), route("a", HOST, "/a/", share("x", 90), share("y", 10)));

    assertThat(ConfigDiff.between(before, after), is(empty()));
  }

  /** Guards against entries of the same name that hide each other. */
  @Test
  void comparesRepeatedNamesByOccurrence() {
    RoutingContent before = content(route("a", "/a/"), route("a", "/b/"));
    RoutingContent after = content(route("a", "/a/"));

    assertThat(
        ConfigDiff.between(before, after),
        contains(new ConfigChange(ConfigChange.Kind.REMOVED, entry(1, "a"), List.of())));
  }

  /** Guards against keys, or their digests, in the differences. */
  @Test
  void countsChangedKeysWithoutShowingThem() {
    List<ConfigChange> changes =
        ConfigDiff.between(
            content(account("families", "k1", "k2")),
            content(account("families", "k2", "k3", "k4")));

    assertThat(
        changes.get(0).fields(),
        contains(new FieldChange(ConfigField.KEYS, "2 keys", "3 keys (2 added, 1 removed)")));
    assertThat(changes.toString(), not(containsString(KeyDigest.ofKey("k3").toString())));
  }

  @Test
  void listsChangedVersionsAndLimits() {
    RequestLimits limits = new RequestLimits(16_384, 4_194_304, 3_000, 9_000);
    List<ConfigChange> changes =
        ConfigDiff.between(
            content(7, List.of(), List.of(), LIMITS), content(8, List.of(), List.of(), limits));

    assertThat(
        changes.stream().flatMap(change -> change.fields().stream()).toList(),
        contains(
            new FieldChange(ConfigField.VERSION, "7", "8"),
            new FieldChange(ConfigField.IDLE_TIMEOUT, "15000 ms", "9000 ms")));
  }

  private static ConfigEntry entry(int index, String name) {
    return new ConfigEntry(ConfigSection.ROUTE, index, name);
  }
}
