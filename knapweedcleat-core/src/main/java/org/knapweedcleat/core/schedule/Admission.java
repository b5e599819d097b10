package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.id.ServiceId;

/** Estimates when a request would get its first token. */
final class Admission {

  private final EndpointTable endpoints;
  private final CostModel costs;
  private final Placer placer;
  private final SchedulePolicy policy;

  private Admission(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, Placer placer) {
    this.policy = policy;
    this.endpoints = endpoints;
    this.costs = costs;
    this.placer = placer;
  }

  static Admission of(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, Placer placer) {
    return new Admission(policy, endpoints, costs, placer);
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
    return Math.max(waitMillis, blockedMillis) + serviceMillis(now, request);
  }

  /** Raises an estimate so that it holds for nearly all requests of the service. */
  double likelyMillis(ServiceId service, double estimateMillis) {
    return estimateMillis + costs.margin(service).millis();
  }

  /** Estimates the time that an unhindered request takes to its first token. */
  double serviceMillis(long now, PlacementRequest request) {
    List<EndpointTrack> prefills = endpoints.active(EndpointRole.PREFILL);
    double rate = totalRate(prefills) / Math.max(1, prefills.size());
    double computeMillis = rate > 0 ? placer.leastUncachedTokens(now, request) / rate : 0;
    return costs.reserveMillis().value()
        + computeMillis
        + costs.transferMillis(request.promptTokens())
        + costs.gap().predict(1);
  }

  /** Estimates the time that the pool needs for one more request of the same size. */
  double intervalMillis(long now, PoolKind kind, PlacementRequest request) {
    if (kind == PoolKind.PLAIN) {
      int places = endpoints.active(EndpointRole.PLAIN).size() * policy.plainConcurrency();
      return costs.plainMillis().value() / Math.max(1, places);
    }
    double rate = totalRate(endpoints.active(EndpointRole.PREFILL));
    double prefillMillis = rate > 0 ? placer.leastUncachedTokens(now, request) / rate : 0;
    return Math.max(prefillMillis, memoryMillis(request, Waiting.piecesOf(request)));
  }

  /** Returns how long all endpoints of a role still get no work after failures. */
  private double blockedMillis(long now, EndpointRole role) {
    long least = Long.MAX_VALUE;
    for (EndpointTrack track : endpoints.active(role)) {
      least = Math.min(least, Math.max(0, track.blockedUntilMillis() - now));
    }
    return least == Long.MAX_VALUE ? 0 : least;
  }

  private double plainMillis(long now, QueuedWork ahead) {
    int places = endpoints.active(EndpointRole.PLAIN).size() * policy.plainConcurrency();
    double rounds = ahead.requests() / Math.max(1, places);
    return blockedMillis(now, EndpointRole.PLAIN) + costs.plainMillis().value() * (1 + rounds);
  }

  private double prefillWaitMillis(long now, QueuedWork ahead) {
    List<EndpointTrack> prefills = endpoints.usable(now, EndpointRole.PREFILL);
    double least = prefills.stream().mapToDouble(track -> track.backlogMillis(now)).min().orElse(0);
    if (ahead.promptTokens() == 0 || prefills.isEmpty()) {
      return least;
    }
    double backlog = prefills.stream().mapToDouble(track -> track.backlogTokens(now)).sum();
    return Math.max(least, (ahead.promptTokens() + backlog) / totalRate(prefills));
  }

  private double memoryWaitMillis(long now, PlacementRequest request, QueuedWork ahead) {
    int free = 0;
    for (EndpointTrack track : endpoints.usable(now, EndpointRole.DECODE)) {
      free += Math.max(0, endpoints.freePieces(now, track));
    }
    return memoryMillis(request, ahead.pieces() + Waiting.piecesOf(request) - free);
  }

  /** Estimates how long the pool takes to free the given pieces, by Little's law. */
  private double memoryMillis(PlacementRequest request, double pieces) {
    int total = 0;
    for (EndpointTrack track : endpoints.active(EndpointRole.DECODE)) {
      total += track.totalPieces();
    }
    return Math.max(0, pieces) * costs.holdMillis(request) / Math.max(1, total);
  }

  private static double totalRate(List<EndpointTrack> prefills) {
    return prefills.stream().mapToDouble(track -> track.prefillMeter().tokensPerMilli()).sum();
  }
}
