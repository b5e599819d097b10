package org.knapweedcleat.core.balance;

import java.util.Map;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;

/** The failure domains with their regions, seen from one of them. */
public final class DomainTopology {

  private final FailureDomainId local;
  private final Map<FailureDomainId, RegionId> regionsByDomain;

  private DomainTopology(FailureDomainId own, Map<FailureDomainId, RegionId> regions) {
    this.local = own;
    this.regionsByDomain = Map.copyOf(regions);
  }

  /**
   * Returns a map.
   *
   * @param own the failure domain of the instance
   * @param regions the region of each failure domain
   * @return the map
   */
  public static DomainTopology of(FailureDomainId own, Map<FailureDomainId, RegionId> regions) {
    return new DomainTopology(own, regions);
  }

  /**
   * Returns how far a failure domain is from the own one.
   *
   * @param domain the failure domain
   * @return the distance
   */
  public NetworkDistance distanceToLocal(FailureDomainId domain) {
    return distanceBetween(local, domain);
  }

  /**
   * Returns how far two failure domains are from each other.
   *
   * @param one a failure domain
   * @param other another or the same
   * @return the distance; the farthest for a failure domain that is not known
   */
  public NetworkDistance distanceBetween(FailureDomainId one, FailureDomainId other) {
    if (one.equals(other)) {
      return NetworkDistance.SAME_DOMAIN;
    }
    RegionId region = regionsByDomain.get(one);
    boolean near = region != null && region.equals(regionsByDomain.get(other));
    return near ? NetworkDistance.SAME_REGION : NetworkDistance.OTHER_REGION;
  }
}
