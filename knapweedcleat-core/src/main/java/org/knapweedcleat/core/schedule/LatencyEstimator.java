package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.id.ServiceId;

/** Estimates when a request would get its first token. */
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

  /** Estimates the time to the first token, or to the answer of a plain call. */
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

  /** Raises an estimate so that it holds for nearly all requests of the service. */
  double withErrorMarginMillis(ServiceId service, double estimateMillis) {
    return estimateMillis + costs.margin(service).millis();
  }

  /** Estimates the time that an unhindered request takes to its first token. */
  double uncontendedMillis(long now, PlacementRequest request) {
    List<EndpointTracker> prefills = endpoints.active(EndpointRole.PREFILL);
    double tokensPerMilli = totalTokensPerMilli(prefills) / Math.max(1, prefills.size());
    double computeMillis = tokensPerMilli > 0 ? planner.minUncachedTokens(now, request) / tokensPerMilli : 0;
    return costs.reserveMillis().value()
        + computeMillis
        + costs.transferMillis(request.promptTokens())
        + costs.tokenGap().predict(1);
  }

  /** Estimates the time that the pool needs for one more request of the same size. */
  double intervalMillis(long now, PoolKind kind, PlacementRequest request) {
    if (kind == PoolKind.PLAIN) {
      int capacity = endpoints.active(EndpointRole.PLAIN).size() * policy.plainConcurrency();
      return costs.plainMillis().value() / Math.max(1, capacity);
    }
    double tokensPerMilli = totalTokensPerMilli(endpoints.active(EndpointRole.PREFILL));
    double prefillMillis = tokensPerMilli > 0 ? planner.minUncachedTokens(now, request) / tokensPerMilli : 0;
    return Math.max(prefillMillis, memoryMillis(request, QueuedRequest.piecesOf(request)));
  }

  /** Returns how long all endpoints of a role still get no work after failures. */
  private double blockedMillis(long now, EndpointRole role) {
    long shortestMillis = Long.MAX_VALUE;
    for (EndpointTracker track : endpoints.active(role)) {
      shortestMillis = Math.min(shortestMillis, Math.max(0, track.blockedUntilMillis() - now));
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
    double shortestMillis = prefills.stream().mapToDouble(track -> track.backlogMillis(now)).min().orElse(0);
    if (ahead.promptTokens() == 0 || prefills.isEmpty()) {
      return shortestMillis;
    }
    double backlogTokens = prefills.stream().mapToDouble(track -> track.backlogTokens(now)).sum();
    return Math.max(shortestMillis, (ahead.promptTokens() + backlogTokens) / totalTokensPerMilli(prefills));
  }

  private double memoryWaitMillis(long now, PlacementRequest request, QueuedWork ahead) {
    int freePieces = 0;
    for (EndpointTracker track : endpoints.usable(now, EndpointRole.DECODE)) {
      freePieces += Math.max(0, endpoints.freePieces(now, track));
    }
    return memoryMillis(request, ahead.pieces() + QueuedRequest.piecesOf(request) - freePieces);
  }

  /** Estimates how long the pool takes to free the given pieces, by Little's law. */
  private double memoryMillis(PlacementRequest request, double pieces) {
    int totalPieces = 0;
    for (EndpointTracker track : endpoints.active(EndpointRole.DECODE)) {
      totalPieces += track.totalPieces();
    }
    return Math.max(0, pieces) * costs.holdMillis(request) / Math.max(1, totalPieces);
  }

  private static double totalTokensPerMilli(List<EndpointTracker> prefills) {
    return prefills.stream().mapToDouble(track -> track.prefillThroughput().tokensPerMilli()).sum();
  }
}
