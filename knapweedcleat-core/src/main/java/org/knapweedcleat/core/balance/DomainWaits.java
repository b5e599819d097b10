package org.knapweedcleat.core.balance;

import java.util.List;
import java.util.Set;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Estimates how long a call would wait at the endpoints of one failure domain, regardless of their
 * distance.
 *
 * @param nowMillis the current time
 * @param times the waits at single endpoints
 * @param health the health of each endpoint
 * @param tried the endpoints that already failed the call, where it cannot wait
 */
record DomainWaits(
    long nowMillis, ExpectedTimes times, EndpointHealthRegistry health, Set<EndpointId> tried) {

  /**
   * Returns the mean wait of a plain call in a domain; infinite if no endpoint can take it. The
   * shortest wait would be too low, since many instances that know the same old workloads all
   * select the endpoint that had it.
   */
  double plainMillis(List<EndpointEntry> domainEndpoints, List<EndpointEntry> allEndpoints) {
    double callMillis = times.meanPlainCallMillis(allEndpoints);
    return usable(domainEndpoints).stream()
        .mapToDouble(entry -> times.plainWaitMillis(nowMillis, entry, callMillis))
        .average()
        .orElse(Double.POSITIVE_INFINITY);
  }

  /**
   * Returns the shortest wait of a stream in a domain; infinite if none of its engines has
   * capacity.
   */
  double streamMillis(
      List<EndpointEntry> domainEngines,
      List<EndpointEntry> allEngines,
      EngineProfile profile,
      StreamRequirements requirements) {
    double decodeMillis =
        usable(times.decodeEngines(nowMillis, domainEngines, profile, requirements)).stream()
            .mapToDouble(engine -> times.decodeWaitMillis(nowMillis, engine, profile))
            .min()
            .orElse(Double.POSITIVE_INFINITY);
    if (!requirements.allowsSplit()) {
      return decodeMillis;
    }
    return decodeMillis
        + usable(prefillEngines(domainEngines, allEngines, requirements)).stream()
            .mapToDouble(engine -> times.prefillWaitMillis(nowMillis, engine))
            .min()
            .orElse(0);
  }

  /**
   * Returns the engines that may prefill a stream which runs on the allowed engines. Engines are
   * divided between stages by region, so a domain may be without prefill engines; its streams use
   * those of other domains.
   */
  List<EndpointEntry> prefillEngines(
      List<EndpointEntry> allowedEngines,
      List<EndpointEntry> allEngines,
      StreamRequirements requirements) {
    List<EndpointEntry> allowed = ExpectedTimes.prefillEngines(allowedEngines, requirements);
    return usable(allowed).isEmpty()
        ? ExpectedTimes.prefillEngines(allEngines, requirements)
        : allowed;
  }

  private List<EndpointEntry> usable(List<EndpointEntry> endpoints) {
    return endpoints.stream()
        .filter(entry -> !tried.contains(entry.id()))
        .filter(entry -> health.get(entry.id()).acceptsCall(nowMillis))
        .toList();
  }
}
