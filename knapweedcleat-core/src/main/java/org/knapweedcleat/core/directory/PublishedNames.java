package org.knapweedcleat.core.directory;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;

/** Checks the failure domains and regions that published values name against the settings. */
public final class PublishedNames {

  private final Set<FailureDomainId> domains;
  private final Set<RegionId> regions;

  private PublishedNames(Set<FailureDomainId> domains, Set<RegionId> regions) {
    this.domains = Set.copyOf(domains);
    this.regions = Set.copyOf(regions);
  }

  /**
   * Returns a check.
   *
   * @param regionByDomain the region of each failure domain; empty to accept all names
   * @return the check
   */
  public static PublishedNames of(Map<FailureDomainId, RegionId> regionByDomain) {
    return new PublishedNames(regionByDomain.keySet(), new HashSet<>(regionByDomain.values()));
  }

  /**
   * Checks an evacuation.
   *
   * @param domain the evacuated failure domain
   * @return the fault; empty if the domain is known
   */
  public Optional<PublishedFault> check(FailureDomainId domain) {
    return domains.isEmpty() || domains.contains(domain)
        ? Optional.empty()
        : Optional.of(
            new PublishedFault(PublishedFault.Kind.UNKNOWN_DOMAIN, "evacuation", domain.value()));
  }

  /**
   * Checks the region restrictions of a configuration.
   *
   * @param content the configuration
   * @return the faults
   */
  public List<PublishedFault> check(RoutingContent content) {
    List<PublishedFault> faults = new ArrayList<>();
    content
        .routes()
        .forEach(route -> check("route " + route.name(), route.allowedRegions(), faults));
    content
        .accounts()
        .forEach(
            account -> check("account " + account.account(), account.allowedRegions(), faults));
    return faults;
  }

  private void check(String subject, Set<RegionId> allowed, List<PublishedFault> faults) {
    allowed.stream()
        .filter(region -> !regions.isEmpty() && !regions.contains(region))
        .map(
            region ->
                new PublishedFault(PublishedFault.Kind.UNKNOWN_REGION, subject, region.value()))
        .forEach(faults::add);
  }
}
