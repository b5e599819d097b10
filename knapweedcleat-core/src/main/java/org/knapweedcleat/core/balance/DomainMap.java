package org.knapweedcleat.core.balance;

import java.util.Map;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;

/** The failure domains with their regions, seen from one of them. */
public final class DomainMap {

  private final FailureDomainId own;
  private final Map<FailureDomainId, RegionId> regions;

  private DomainMap(FailureDomainId own, Map<FailureDomainId, RegionId> regions) {
    this.own = own;
    this.regions = Map.copyOf(regions);
  }

  /**
   * Returns a map.
   *
   * @param own the failure domain of the instance
   * @param regions the region of each failure domain
   * @return the map
   */
  public static DomainMap of(FailureDomainId own, Map<FailureDomainId, RegionId> regions) {
    return new DomainMap(own, regions);
  }

  /**
   * Returns how far a failure domain is from the own one.
   *
   * @param domain the failure domain
   * @return the distance
   */
  public Distance toOwn(FailureDomainId domain) {
    return between(own, domain);
  }

  /**
   * Returns how far two failure domains are from each other.
   *
   * @param one a failure domain
   * @param other another or the same
   * @return the distance; the farthest for a failure domain that is not known
   */
  public Distance between(FailureDomainId one, FailureDomainId other) {
    if (one.equals(other)) {
      return Distance.SAME_DOMAIN;
    }
    RegionId region = regions.get(one);
    boolean near = region != null && region.equals(regions.get(other));
    return near ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }
}
