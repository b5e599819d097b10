package org.knapweedcleat.core.directory.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.RoutingContent;

class VersionRuleTest {

  /** Guards against a version that instances ignore because it is not higher. */
  @Test
  void onlyHigherVersionsReplaceTheOneInForce() {
    assertThat(VersionRule.check(version(7), version(8)), is(Optional.empty()));
    assertThat(kind(7, 7), is(Optional.of(FindingKind.VERSION_NOT_HIGHER)));
    assertThat(kind(7, 6), is(Optional.of(FindingKind.VERSION_NOT_HIGHER)));
    assertThat(FindingKind.VERSION_NOT_HIGHER.isError(), is(true));
  }

  private static Optional<FindingKind> kind(long inForce, long next) {
    return VersionRule.check(version(inForce), version(next)).map(Finding::kind);
  }

  private static RoutingContent version(long version) {
    return ConfigFixture.content(version, List.of(), List.of(), ConfigFixture.LIMITS);
  }
}
