package org.knapweedcleat.core.balance;

import java.util.Map;
import java.util.Optional;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;

/** Assigns failure domains to regions and classifies the distance between two of them. */
public final class DomainTopology {

  private final FailureDomainId local;
  private final Map<FailureDomainId, RegionId> regionsByDomain;

  private DomainTopology(FailureDomainId local, Map<FailureDomainId, RegionId> regions) {
    this.local = local;
    this.regionsByDomain = Map.copyOf(regions);
  }

  /**
   * Returns the topology as seen from the local failure domain.
   *
   * @param local the failure domain of this instance
   * @param regions the region of each failure domain
   * @return the topology
   */
  public static DomainTopology of(FailureDomainId local, Map<FailureDomainId, RegionId> regions) {
    return new DomainTopology(local, regions);
  }

  /**
   * Returns the local failure domain.
   *
   * @return the failure domain from which distances are measured
   */
  public FailureDomainId local() {
    return local;
  }

  /**
   * Returns the topology as seen from another failure domain.
   *
   * @param domain the failure domain from which distances are measured
   * @return the topology
   */
  public DomainTopology seenFrom(FailureDomainId domain) {
    return new DomainTopology(domain, regionsByDomain);
  }

  /**
   * Returns the region of a failure domain.
   *
   * @param domain the failure domain
   * @return its region; empty if the failure domain is unknown
   */
  public Optional<RegionId> region(FailureDomainId domain) {
    return Optional.ofNullable(regionsByDomain.get(domain));
  }

  /**
   * Returns the distance of a failure domain to the local one.
   *
   * @param domain the failure domain
   * @return the distance
   */
  public NetworkDistance distanceToLocal(FailureDomainId domain) {
    return distanceBetween(local, domain);
  }

  /**
   * Returns the distance between two failure domains.
   *
   * @param first the first failure domain
   * @param second the second failure domain
   * @return the distance; {@link NetworkDistance#OTHER_REGION} if a failure domain is unknown
   */
  public NetworkDistance distanceBetween(FailureDomainId first, FailureDomainId second) {
    if (first.equals(second)) {
      return NetworkDistance.SAME_DOMAIN;
    }
    Optional<RegionId> region = region(first);
    boolean sameRegion = region.isPresent() && region.equals(region(second));
    return sameRegion ? NetworkDistance.SAME_REGION : NetworkDistance.OTHER_REGION;
  }
}
