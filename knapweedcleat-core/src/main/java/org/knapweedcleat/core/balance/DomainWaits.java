package org.knapweedcleat.core.balance;

import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Estimates how long a call would wait at the endpoints of one failure domain, regardless of their
 * distance.
 *
 * @param nowMillis the current time
 * @param workload the workload of each endpoint
 * @param health the health of each endpoint
 * @param tried the endpoints that already failed the call, where it cannot wait
 */
record DomainWaits(
    long nowMillis,
    WorkloadTracker workload,
    EndpointHealthRegistry health,
    Set<EndpointId> tried) {

  /** Returns the shortest wait at one of the endpoints; infinite if none can take the call. */
  double shortest(List<EndpointEntry> endpoints, ToDoubleFunction<EndpointEntry> waitMillis) {
    return usable(endpoints, waitMillis).min().orElse(Double.POSITIVE_INFINITY);
  }

  /**
   * Returns the mean wait at the endpoints, which an instance among many can expect when the
   * workload of each endpoint is known with a delay; infinite if none can take the call.
   */
  double mean(List<EndpointEntry> endpoints, ToDoubleFunction<EndpointEntry> waitMillis) {
    return usable(endpoints, waitMillis).average().orElse(Double.POSITIVE_INFINITY);
  }

  /**
   * Returns how long a plain call waits at an endpoint.
   *
   * @param endpoint the endpoint
   * @param callMillis the duration of a call, the same for all endpoints of the service, since few
   *     of the endpoints elsewhere have been measured
   */
  double plainMillis(EndpointEntry endpoint, double callMillis) {
    int calls = workload.total(endpoint.id(), nowMillis).calls();
    int slots = Math.max(1, endpoint.slots());
    double queued = Math.max(0, calls + 1 - slots);
    double utilization = (double) Math.min(calls, slots) / slots;
    return callMillis * (utilization / 2 + queued / slots);
  }

  private DoubleStream usable(
      List<EndpointEntry> endpoints, ToDoubleFunction<EndpointEntry> waitMillis) {
    return endpoints.stream()
        .filter(entry -> !tried.contains(entry.id()))
        .filter(entry -> health.get(entry.id()).acceptsCall(nowMillis))
        .mapToDouble(waitMillis);
  }
}
