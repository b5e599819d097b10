package org.knapweedcleat.core.schedule;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/** Admits requests to the queue and places them as capacity becomes available. */
final class Dispatcher {

  private static final Comparator<QueuedRequest> BY_LATEST_START =
      Comparator.comparingLong(QueuedRequest::latestStartMillis);

  private final SchedulePolicy policy;
  private final FairQueue queue;
  private final PlacementTracker tracker;
  private final PlacementPlanner planner;
  private final LatencyEstimator estimator;
  private final RefusalHandler refusals;
  private final LeavingEndpointCheck leavingCheck;
  private final PriorityQueue<QueuedRequest> byLatestStart = new PriorityQueue<>(BY_LATEST_START);
  private FleetDocument document;
  private PoolSpec pool;

  private Dispatcher(
      SchedulePolicy policy,
      FairQueue queue,
      PlacementTracker tracker,
      PlacementPlanner planner,
      LatencyEstimator estimator,
      RefusalHandler refusals,
      LeavingEndpointCheck leavingCheck) {
    this.policy = policy;
    this.queue = queue;
    this.tracker = tracker;
    this.planner = planner;
    this.estimator = estimator;
    this.refusals = refusals;
    this.leavingCheck = leavingCheck;
  }

  static Dispatcher of(
      SchedulePolicy policy,
      FairQueue queue,
      PlacementTracker tracker,
      PlacementPlanner planner,
      LatencyEstimator estimator,
      RefusalHandler refusals,
      LeavingEndpointCheck leavingCheck) {
    return new Dispatcher(policy, queue, tracker, planner, estimator, refusals, leavingCheck);
  }

  /** Applies a fleet document; the pool is null if the document does not declare it. */
  void configure(FleetDocument newDocument, PoolSpec newPool) {
    document = newDocument;
    pool = newPool;
  }

  /** Queues a request whose service and pool are declared, or refuses it immediately. */
  List<ScheduleAction> admit(long now, PlacementRequest request) {
    ServiceSpec service = document.services().get(request.service());
    int weight = weight(request);
    long allowedMillis = Math.min(request.remainingMillis(), service.deadlineMillis());
    double startToTokenMillis =
        estimator.withErrorMarginMillis(service.id(), estimator.uncontendedMillis(now, request));
    long latestStartMillis = now + allowedMillis - Math.round(startToTokenMillis);
    QueueLane lane = QueueLane.of(request, service);
    QueuedWork ahead =
        queue.workAhead(request, weight, lane, QueuedRequest.isUrgent(request, service));
    double estimateMillis = estimator.estimateMillis(now, pool.kind(), request, ahead);
    double conservativeMillis = estimator.withErrorMarginMillis(service.id(), estimateMillis);
    if (conservativeMillis > allowedMillis) {
      double excessMillis = conservativeMillis - allowedMillis;
      return List.of(
          refusals.refuseUntil(now, pool.kind(), request, RefusalReason.DEADLINE, excessMillis));
    }
    return enqueue(
        now,
        new QueuedRequest(
            request,
            service,
            weight,
            QueuedRequest.piecesOf(request),
            now,
            latestStartMillis,
            estimateMillis));
  }

  /** Refuses expired requests, then places queued requests in order until one cannot be placed. */
  List<ScheduleAction> dispatch(long now) {
    if (pool == null) {
      return List.of();
    }
    List<ScheduleAction> actions = new ArrayList<>(expire(now));
    QueuedRequest next = next(now);
    while (next != null) {
      Either<PlacementPlanner.BlockingReason, PlacementPlan> plan = planner.plan(now, pool, next);
      if (plan.isLeft()) {
        return actions;
      }
      actions.add(place(now, next, plan.get()));
      next = next(now);
    }
    return actions;
  }

  /** Returns a non-urgent request close to expiry, otherwise the head of the fair queue. */
  private QueuedRequest next(long now) {
    QueuedRequest first = nextToExpire();
    if (first != null
        && !first.isUrgent()
        && first.latestStartMillis() - now <= policy.deadlineBoostMillis()) {
      return first;
    }
    return queue.head();
  }

  private QueuedRequest nextToExpire() {
    while (!byLatestStart.isEmpty()
        && queue.get(byLatestStart.peek().key()) != byLatestStart.peek()) {
      byLatestStart.poll();
    }
    return byLatestStart.peek();
  }

  private List<ScheduleAction> enqueue(long now, QueuedRequest queued) {
    queue.add(queued);
    byLatestStart.add(queued);
    List<ScheduleAction> actions = new ArrayList<>(dispatch(now));
    refuseIfQueueFull(now, queued).ifPresent(actions::add);
    return actions;
  }

  private Optional<ScheduleAction> refuseIfQueueFull(long now, QueuedRequest queued) {
    if (queue.get(queued.key()) == null || fitsQueueShare(queued)) {
      return Optional.empty();
    }
    queue.remove(queued);
    return Optional.of(refuse(now, queued, RefusalReason.QUEUE_FULL));
  }

  /** Limits each account's share of the queue; the limit shrinks as free space does. */
  private boolean fitsQueueShare(QueuedRequest queued) {
    int limit = queued.service().queueLimit();
    int free = limit - queue.size(queued.service().id());
    if (free < 0) {
      return false;
    }
    double maxRequests = policy.queueShare() * queued.weight() * (free + 1);
    return queue.size(queued.account()) <= maxRequests;
  }

  private List<ScheduleAction> expire(long now) {
    List<ScheduleAction> actions = new ArrayList<>();
    QueuedRequest first = nextToExpire();
    while (first != null && first.latestStartMillis() < now) {
      queue.remove(first);
      actions.add(refuse(now, first, RefusalReason.DEADLINE));
      first = nextToExpire();
    }
    return actions;
  }

  private SendDecision refuse(long now, QueuedRequest queued, RefusalReason reason) {
    return refusals.refuseUntil(
        now, pool.kind(), queued.request(), reason, queued.estimateMillis());
  }

  private SendDecision place(long now, QueuedRequest queued, PlacementPlan plan) {
    leavingCheck.check(document, plan);
    queue.dequeue(queued, planner.price(plan, queued.request()));
    return tracker.start(now, queued, plan);
  }

  private int weight(PlacementRequest request) {
    AccountSpec account = document.accounts().get(request.account());
    return account == null ? 1 : Math.max(1, account.weight());
  }
}
