package org.knapweedcleat.core.directory;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.knapweedcleat.core.id.RegionId;

/**
 * The regions in which a call may be served. A route and a client account can each restrict them;
 * if both do, a region must be allowed by both.
 */
public final class RegionRestriction {

  /** The restriction of a call that may be served in any region. */
  public static final RegionRestriction NONE = new RegionRestriction(List.of());

  private final List<Set<RegionId>> restrictions;

  private RegionRestriction(List<Set<RegionId>> restrictions) {
    this.restrictions = List.copyOf(restrictions);
  }

  /**
   * Returns the restriction of a call.
   *
   * @param route the call's route
   * @param account the call's client account, if it has one
   * @return the restriction
   */
  public static RegionRestriction of(ForwardRoute route, Optional<AccountQuota> account) {
    return new RegionRestriction(
        Stream.concat(
                Stream.of(route.allowedRegions()),
                account.map(AccountQuota::allowedRegions).stream())
            .filter(regions -> !regions.isEmpty())
            .toList());
  }

  /**
   * Returns whether the call may be served in any region.
   *
   * @return true if neither its route nor its account restricts it
   */
  public boolean allowsAll() {
    return restrictions.isEmpty();
  }

  /**
   * Returns whether the call may be served in a region.
   *
   * @param region the region; empty if it is unknown
   * @return false if the call is restricted and the region is unknown or not allowed
   */
  public boolean allows(Optional<RegionId> region) {
    return restrictions.stream().allMatch(regions -> region.filter(regions::contains).isPresent());
  }
}
