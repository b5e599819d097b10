package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.id.ServiceId;

/** Estimates queueing and service times of requests in a pool. */
final class LatencyEstimator {

  private final EndpointTable endpoints;
  private final CostModel costs;
  private final PlacementPlanner planner;
  private final SchedulePolicy policy;

  private LatencyEstimator(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, PlacementPlanner planner) {
    this.policy = policy;
    this.endpoints = endpoints;
    this.costs = costs;
    this.planner = planner;
  }

  static LatencyEstimator of(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, PlacementPlanner planner) {
    return new LatencyEstimator(policy, endpoints, costs, planner);
  }

  /** Estimates the time to the first token, or to the response of a plain call. */
  double estimateMillis(long now, PoolKind kind, PlacementRequest request, QueuedWork ahead) {
    if (kind == PoolKind.PLAIN) {
      return plainMillis(now, ahead);
    }
    double waitMillis =
        Math.max(prefillWaitMillis(now, ahead), memoryWaitMillis(now, request, ahead));
    double blockedMillis =
        Math.max(blockedMillis(now, EndpointRole.PREFILL), blockedMillis(now, EndpointRole.DECODE));
    return Math.max(waitMillis, blockedMillis) + uncontendedMillis(now, request);
  }

  /** Adds the service's error margin to an estimate so that most requests meet it. */
  double withErrorMarginMillis(ServiceId service, double estimateMillis) {
    return estimateMillis + costs.margin(service).millis();
  }

  /** Estimates the time to the first token on an idle pool. */
  double uncontendedMillis(long now, PlacementRequest request) {
    List<EndpointTracker> prefills = endpoints.active(EndpointRole.PREFILL);
    double tokensPerMilli = totalTokensPerMilli(prefills) / Math.max(1, prefills.size());
    double computeMillis =
        tokensPerMilli > 0 ? planner.minUncachedTokens(now, request) / tokensPerMilli : 0;
    return costs.reserveMillis().value()
        + computeMillis
        + costs.transferMillis(request.promptTokens())
        + costs.tokenGap().predict(1);
  }

  /** Estimates how much pool time one more request of the same size takes. */
  double intervalMillis(long now, PoolKind kind, PlacementRequest request) {
    if (kind == PoolKind.PLAIN) {
      int capacity = endpoints.active(EndpointRole.PLAIN).size() * policy.plainConcurrency();
      return costs.plainMillis().value() / Math.max(1, capacity);
    }
    double tokensPerMilli = totalTokensPerMilli(endpoints.active(EndpointRole.PREFILL));
    double prefillMillis =
        tokensPerMilli > 0 ? planner.minUncachedTokens(now, request) / tokensPerMilli : 0;
    return Math.max(prefillMillis, memoryMillis(request, QueuedRequest.piecesOf(request)));
  }

  /** Returns the time until the first endpoint of a role is no longer blocked after a failure. */
  private double blockedMillis(long now, EndpointRole role) {
    long shortestMillis = Long.MAX_VALUE;
    for (EndpointTracker endpoint : endpoints.active(role)) {
      shortestMillis = Math.min(shortestMillis, Math.max(0, endpoint.blockedUntilMillis() - now));
    }
    return shortestMillis == Long.MAX_VALUE ? 0 : shortestMillis;
  }

  private double plainMillis(long now, QueuedWork ahead) {
    int capacity = endpoints.active(EndpointRole.PLAIN).size() * policy.plainConcurrency();
    double rounds = ahead.requests() / Math.max(1, capacity);
    return blockedMillis(now, EndpointRole.PLAIN) + costs.plainMillis().value() * (1 + rounds);
  }

  private double prefillWaitMillis(long now, QueuedWork ahead) {
    List<EndpointTracker> prefills = endpoints.usable(now, EndpointRole.PREFILL);
    double shortestMillis =
        prefills.stream().mapToDouble(endpoint -> endpoint.backlogMillis(now)).min().orElse(0);
    if (ahead.promptTokens() == 0 || prefills.isEmpty()) {
      return shortestMillis;
    }
    double backlogTokens =
        prefills.stream().mapToDouble(endpoint -> endpoint.backlogTokens(now)).sum();
    return Math.max(
        shortestMillis, (ahead.promptTokens() + backlogTokens) / totalTokensPerMilli(prefills));
  }

  private double memoryWaitMillis(long now, PlacementRequest request, QueuedWork ahead) {
    int freePieces = 0;
    for (EndpointTracker endpoint : endpoints.usable(now, EndpointRole.DECODE)) {
      freePieces += Math.max(0, endpoints.freePieces(now, endpoint));
    }
    return memoryMillis(request, ahead.pieces() + QueuedRequest.piecesOf(request) - freePieces);
  }

  /** Estimates how long the pool takes to free the given memory pieces, by Little's law. */
  private double memoryMillis(PlacementRequest request, double pieces) {
    int totalPieces = 0;
    for (EndpointTracker endpoint : endpoints.active(EndpointRole.DECODE)) {
      totalPieces += endpoint.totalPieces();
    }
    return Math.max(0, pieces) * costs.holdMillis(request) / Math.max(1, totalPieces);
  }

  private static double totalTokensPerMilli(List<EndpointTracker> prefills) {
    return prefills.stream()
        .mapToDouble(endpoint -> endpoint.prefillThroughput().tokensPerMilli())
        .sum();
  }
}
