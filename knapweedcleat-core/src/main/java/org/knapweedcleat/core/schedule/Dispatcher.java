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

/** Admits requests to the queue and places them from it as soon as there is room. */
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

  /** Takes over a document; the pool is null when it is no longer declared. */
  void configure(FleetDocument newDocument, PoolSpec newPool) {
    document = newDocument;
    pool = newPool;
  }

  /** Queues a request whose service and pool are declared, or refuses it at once. */
  List<ScheduleAction> admit(long now, PlacementRequest request) {
    ServiceSpec service = document.services().get(request.service());
    int weight = weight(request);
    long allowedMillis = Math.min(request.remainingMillis(), service.deadlineMillis());
    double startToTokenMillis =
        estimator.withErrorMarginMillis(service.id(), estimator.uncontendedMillis(now, request));
    long latestStartMillis = now + allowedMillis - Math.round(startToTokenMillis);
    QueueLane lane = QueueLane.of(request, service);
    QueuedWork ahead = queue.workAhead(request, weight, lane, QueuedRequest.isUrgent(request, service));
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
            request, service, weight, QueuedRequest.piecesOf(request), now, latestStartMillis, estimateMillis));
  }

  /** Places as many waiting requests as there is room for, in their order. */
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

  /** Returns the request to be placed next: one that would else be lost soon, or the fair turn. */
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
    while (!byLatestStart.isEmpty() && queue.get(byLatestStart.peek().key()) != byLatestStart.peek()) {
      byLatestStart.poll();
    }
    return byLatestStart.peek();
  }

  private List<ScheduleAction> enqueue(long now, QueuedRequest waiting) {
    queue.add(waiting);
    byLatestStart.add(waiting);
    List<ScheduleAction> actions = new ArrayList<>(dispatch(now));
    refuseIfQueueFull(now, waiting).ifPresent(actions::add);
    return actions;
  }

  private Optional<ScheduleAction> refuseIfQueueFull(long now, QueuedRequest waiting) {
    if (queue.get(waiting.key()) == null || fitsQueueShare(waiting)) {
      return Optional.empty();
    }
    queue.remove(waiting);
    return Optional.of(refuse(now, waiting, RefusalReason.QUEUE_FULL));
  }

  /** Keeps an account from taking all places of the queue, more strictly the fewer are left. */
  private boolean fitsQueueShare(QueuedRequest waiting) {
    int limit = waiting.service().queueLimit();
    int free = limit - queue.size(waiting.service().id());
    if (free < 0) {
      return false;
    }
    double maxRequests = policy.queueShare() * waiting.weight() * (free + 1);
    return queue.size(waiting.account()) <= maxRequests;
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

  private SendDecision refuse(long now, QueuedRequest waiting, RefusalReason reason) {
    return refusals.refuseUntil(
        now, pool.kind(), waiting.request(), reason, waiting.estimateMillis());
  }

  private SendDecision place(long now, QueuedRequest waiting, PlacementPlan plan) {
    leavingCheck.check(document, plan);
    queue.dequeue(waiting, planner.price(plan, waiting.request()));
    return tracker.start(now, waiting, plan);
  }

  private int weight(PlacementRequest request) {
    AccountSpec account = document.accounts().get(request.account());
    return account == null ? 1 : Math.max(1, account.weight());
  }
}
