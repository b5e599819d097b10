package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.schedule.ScheduleAction.Decide;

/** Refuses requests, each with the time after which asking again is likely to succeed. */
final class RefusalDesk {

  private final SchedulePolicy policy;
  private final Admission admission;
  private final PlacementBook book;
  private final SchedulerCounters counters;
  private final RetryTimes retryTimes;

  private RefusalDesk(
      SchedulePolicy policy, Admission admission, PlacementBook book, SchedulerCounters counters) {
    this.policy = policy;
    this.admission = admission;
    this.book = book;
    this.counters = counters;
    this.retryTimes = RetryTimes.of(policy);
  }

  static RefusalDesk of(
      SchedulePolicy policy, Admission admission, PlacementBook book, SchedulerCounters counters) {
    return new RefusalDesk(policy, admission, book, counters);
  }

  /** Refuses a request for which there may be room after the given time. */
  Decide refuseUntil(
      long now,
      PoolKind kind,
      PlacementRequest request,
      RefusalReason reason,
      double earliestMillis) {
    double interval = admission.intervalMillis(now, kind, request);
    return refuse(now, request, reason, retryTimes.book(now, earliestMillis, interval));
  }

  /** Refuses a request that no pool's work stands in the way of. */
  Decide refuse(long now, PlacementRequest request, RefusalReason reason) {
    return refuse(now, request, reason, policy.failureBackoffMillis());
  }

  private Decide refuse(
      long now, PlacementRequest request, RefusalReason reason, long retryAfterMillis) {
    counters.refused(reason).inc();
    PlacementDecision refused =
        new PlacementDecision.Refused(
            request.request(), request.attempt(), reason, retryAfterMillis);
    return book.remember(now, new Decide(request.owner(), refused));
  }
}
