package org.knapweedcleat.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

class RegionRestrictionTest {

  private static final RegionId EAST = RegionId.of("east");
  private static final RegionId WEST = RegionId.of("west");

  @Test
  void unrestrictedCallMayBeServedAnywhere() {
    RegionRestriction restriction =
        RegionRestriction.of(route(Set.of()), Optional.of(account(Set.of())));

    assertThat(restriction.allows(Optional.of(EAST)), is(true));
    assertThat(restriction.allows(Optional.empty()), is(true));
  }

  @Test
  void restrictedCallIsNotServedInUnknownRegion() {
    RegionRestriction restriction =
        RegionRestriction.of(route(Set.of(EAST, WEST)), Optional.empty());

    assertThat(restriction.allows(Optional.of(WEST)), is(true));
    assertThat(restriction.allows(Optional.empty()), is(false));
  }

  @Test
  void regionMustBeAllowedByRouteAndAccount() {
    RegionRestriction restriction =
        RegionRestriction.of(route(Set.of(EAST, WEST)), Optional.of(account(Set.of(WEST))));

    assertThat(restriction.allows(Optional.of(WEST)), is(true));
    assertThat(restriction.allows(Optional.of(EAST)), is(false));
  }

  @Test
  void disjointRestrictionsAllowNoRegion() {
    RegionRestriction restriction =
        RegionRestriction.of(route(Set.of(EAST)), Optional.of(account(Set.of(WEST))));

    assertThat(restriction.allows(Optional.of(EAST)), is(false));
    assertThat(restriction.allows(Optional.of(WEST)), is(false));
  }

  private static ForwardRoute route(Set<RegionId> allowedRegions) {
    return new ForwardRoute(
        "r",
        "h",
        "/",
        CallKind.SAFE,
        false,
        true,
        1_000,
        100,
        0,
        1,
        1,
        List.of(new ServiceShare(ServiceId.of("s"), 1)),
        allowedRegions);
  }

  private static AccountQuota account(Set<RegionId> allowedRegions) {
    return new AccountQuota(
        AccountId.of("families"), Set.of(), AccountQuota.ROUTE_PRIORITY, 0, 0, 1, allowedRegions);
  }
}
