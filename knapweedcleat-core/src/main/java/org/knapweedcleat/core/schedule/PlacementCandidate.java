package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RegionId;

/**
 * A scheduler to ask for a placement, with the longest acceptable time to the first token.
 *
 * <p>A request tries its own failure domain and then the others of its region with a short bound.
 * If all refuse, it tries them again with increasing bounds, and finally includes other regions.
 * Each placement stays within one failure domain, so KV cache never crosses regions.
 *
 * @param domain the failure domain whose scheduler is asked
 * @param allowedMillis the longest acceptable time to the first token
 */
public record PlacementCandidate(FailureDomainId domain, long allowedMillis) {

  private static final int SAME_REGION_DISTANCE = 1;
  private static final int OTHER_REGION_DISTANCE = 2;
  private static final int BOUND_FACTOR = 4;

  /**
   * Returns the candidates in the order in which to try them until one accepts.
   *
   * @param document the current fleet document
   * @param service the requested service
   * @param home the failure domain of the instance that serves the caller
   * @param targetMillis the time left to the first-token target; negative if it was missed
   * @param remainingMillis the time left until the deadline
   * @return the candidates; empty if no failure domain has active endpoints for the service
   */
  public static List<PlacementCandidate> plan(
      FleetDocument document,
      ServiceSpec service,
      FailureDomainId home,
      long targetMillis,
      long remainingMillis) {
    List<FailureDomainId> domains = servingDomains(document, service.pool(), home);
    List<PlacementCandidate> candidates = new ArrayList<>();
    for (long allowedMillis : bounds(service, targetMillis, remainingMillis)) {
      domains.stream()
          .filter(domain -> distance(document, home, domain) < OTHER_REGION_DISTANCE)
          .forEach(domain -> candidates.add(new PlacementCandidate(domain, allowedMillis)));
    }
    domains.forEach(domain -> candidates.add(new PlacementCandidate(domain, remainingMillis)));
    return candidates;
  }

  /** Returns increasing bounds on the time to the first token, all below the remaining time. */
  private static List<Long> bounds(ServiceSpec service, long targetMillis, long remainingMillis) {
    long onTimeMillis = targetMillis > 0 ? targetMillis : service.firstTokenTargetMillis();
    List<Long> bounds = new ArrayList<>();
    for (long bound = Math.max(1, onTimeMillis / BOUND_FACTOR);
        bound < remainingMillis;
        bound *= BOUND_FACTOR) {
      bounds.add(bound);
    }
    return bounds;
  }

  private static List<FailureDomainId> servingDomains(
      FleetDocument document, PoolId pool, FailureDomainId home) {
    return document.domains().keySet().stream()
        .filter(domain -> serves(document, pool, domain))
        .sorted(
            Comparator.<FailureDomainId>comparingInt(domain -> distance(document, home, domain))
                .thenComparing(FailureDomainId::value))
        .toList();
  }

  private static boolean serves(FleetDocument document, PoolId pool, FailureDomainId domain) {
    List<EndpointSpec> endpoints = document.endpoints(pool, domain);
    if (document.pools().get(pool).kind() == PoolKind.PLAIN) {
      return hasActive(endpoints, EndpointRole.PLAIN);
    }
    return hasActive(endpoints, EndpointRole.PREFILL) && hasActive(endpoints, EndpointRole.DECODE);
  }

  private static boolean hasActive(List<EndpointSpec> endpoints, EndpointRole role) {
    return endpoints.stream()
        .anyMatch(endpoint -> endpoint.role() == role && endpoint.state().acceptsNewWork());
  }

  private static int distance(FleetDocument document, FailureDomainId home, FailureDomainId other) {
    if (home.equals(other)) {
      return 0;
    }
    RegionId homeRegion = document.domains().get(home).region();
    return document.domains().get(other).region().equals(homeRegion)
        ? SAME_REGION_DISTANCE
        : OTHER_REGION_DISTANCE;
  }
}
