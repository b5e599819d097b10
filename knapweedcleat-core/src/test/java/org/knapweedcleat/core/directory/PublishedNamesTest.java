package org.knapweedcleat.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;

/** Evacuations and restrictions that name failure domains and regions the settings lack. */
class PublishedNamesTest {

  private final PublishedNames names =
      PublishedNames.of(Map.of(FailureDomainId.of("a"), RegionId.of("r1")));

  @Test
  void unknownDomainIsFault() {
    assertThat(names.check(FailureDomainId.of("a")), is(Optional.empty()));
    assertThat(
        names.check(FailureDomainId.of("b")),
        is(Optional.of(new PublishedFault(PublishedFault.Kind.UNKNOWN_DOMAIN, "evacuation", "b"))));
  }

  @Test
  void unknownRegionIsFault() {
    assertThat(names.check(content("r1")), empty());
    assertThat(
        names.check(content("r9")),
        contains(new PublishedFault(PublishedFault.Kind.UNKNOWN_REGION, "account families", "r9")));
  }

  private static RoutingContent content(String region) {
    AccountQuota account =
        new AccountQuota(
            AccountId.of("families"), Set.of(), 0, 0, 0, 1, Set.of(RegionId.of(region)));
    return new RoutingContent(
        1, List.of(), List.of(), true, List.of(account), RequestLimits.INITIAL);
  }
}
