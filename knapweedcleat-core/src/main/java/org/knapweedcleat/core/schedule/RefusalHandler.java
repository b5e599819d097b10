package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/** Records refusals, each with a time after which a retry is likely to succeed. */
final class RefusalHandler {

  private final SchedulePolicy policy;
  private final LatencyEstimator estimator;
  private final PlacementRegistry registry;
  private final SchedulerCounters counters;
  private final RetryAfterAllocator retryAfterAllocator;

  private RefusalHandler(
      SchedulePolicy policy,
      LatencyEstimator estimator,
      PlacementRegistry registry,
      SchedulerCounters counters) {
    this.policy = policy;
    this.estimator = estimator;
    this.registry = registry;
    this.counters = counters;
    this.retryAfterAllocator = RetryAfterAllocator.of(policy);
  }

  static RefusalHandler of(
      SchedulePolicy policy,
      LatencyEstimator estimator,
      PlacementRegistry registry,
      SchedulerCounters counters) {
    return new RefusalHandler(policy, estimator, registry, counters);
  }

  /** Refuses a request for which there may be capacity after the given delay. */
  SendDecision refuseUntil(
      long now,
      PoolKind kind,
      PlacementRequest request,
      RefusalReason reason,
      double earliestMillis) {
    double intervalMillis = estimator.intervalMillis(now, kind, request);
    return refuse(
        now, request, reason, retryAfterAllocator.allocate(now, earliestMillis, intervalMillis));
  }

  /** Refuses a request for a reason other than the pool's load. */
  SendDecision refuse(long now, PlacementRequest request, RefusalReason reason) {
    return refuse(now, request, reason, policy.failureBackoffMillis());
  }

  private SendDecision refuse(
      long now, PlacementRequest request, RefusalReason reason, long retryAfterMillis) {
    counters.refused(reason).inc();
    PlacementDecision refused =
        new PlacementDecision.Refused(
            request.request(), request.attempt(), reason, retryAfterMillis);
    return registry.recordDecision(now, new SendDecision(request.owner(), refused));
  }
}
