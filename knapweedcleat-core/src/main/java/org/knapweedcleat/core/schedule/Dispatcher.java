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
import org.knapweedcleat.core.schedule.ScheduleAction.Decide;

/** Admits requests to the queue and places them from it as soon as there is room. */
final class Dispatcher {

  private static final Comparator<Waiting> EARLIEST_START =
      Comparator.comparingLong(Waiting::latestStartMillis);

  private final SchedulePolicy policy;
  private final FairQueue queue;
  private final PlacementTracker tracker;
  private final Placer placer;
  private final Admission admission;
  private final RefusalDesk refusals;
  private final LeavingCheck leaving;
  private final PriorityQueue<Waiting> expiries = new PriorityQueue<>(EARLIEST_START);
  private FleetDocument document;
  private PoolSpec pool;

  private Dispatcher(
      SchedulePolicy policy,
      FairQueue queue,
      PlacementTracker tracker,
      Placer placer,
      Admission admission,
      RefusalDesk refusals,
      LeavingCheck leaving) {
    this.policy = policy;
    this.queue = queue;
    this.tracker = tracker;
    this.placer = placer;
    this.admission = admission;
    this.refusals = refusals;
    this.leaving = leaving;
  }

  static Dispatcher of(
      SchedulePolicy policy,
      FairQueue queue,
      PlacementTracker tracker,
      Placer placer,
      Admission admission,
      RefusalDesk refusals,
      LeavingCheck leaving) {
    return new Dispatcher(policy, queue, tracker, placer, admission, refusals, leaving);
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
    long allowed = Math.min(request.remainingMillis(), service.deadlineMillis());
    double startToToken =
        admission.likelyMillis(service.id(), admission.serviceMillis(now, request));
    long latestStart = now + allowed - Math.round(startToToken);
    QueueLane lane = QueueLane.of(request, service);
    QueuedWork ahead = queue.ahead(request, weight, lane, Waiting.isUrgent(request, service));
    double estimate = admission.estimateMillis(now, pool.kind(), request, ahead);
    double likely = admission.likelyMillis(service.id(), estimate);
    if (likely > allowed) {
      double earliest = likely - allowed;
      return List.of(
          refusals.refuseUntil(now, pool.kind(), request, RefusalReason.DEADLINE, earliest));
    }
    return enqueue(
        now,
        new Waiting(
            request, service, weight, Waiting.piecesOf(request), now, latestStart, estimate));
  }

  /** Places as many waiting requests as there is room for, in their order. */
  List<ScheduleAction> dispatch(long now) {
    if (pool == null) {
      return List.of();
    }
    List<ScheduleAction> actions = new ArrayList<>(expire(now));
    Waiting next = next(now);
    while (next != null) {
      Either<Placer.Obstacle, PlacementPlan> plan = placer.plan(now, pool, next);
      if (plan.isLeft()) {
        return actions;
      }
      actions.add(place(now, next, plan.get()));
      next = next(now);
    }
    return actions;
  }

  /** Returns the request to be placed next: one that would else be lost soon, or the fair turn. */
  private Waiting next(long now) {
    Waiting first = firstToExpire();
    if (first != null
        && !first.isUrgent()
        && first.latestStartMillis() - now <= policy.rescueMillis()) {
      return first;
    }
    return queue.head();
  }

  private Waiting firstToExpire() {
    while (!expiries.isEmpty() && queue.get(expiries.peek().key()) != expiries.peek()) {
      expiries.poll();
    }
    return expiries.peek();
  }

  private List<ScheduleAction> enqueue(long now, Waiting waiting) {
    queue.add(waiting);
    expiries.add(waiting);
    List<ScheduleAction> actions = new ArrayList<>(dispatch(now));
    refuseIfCrowded(now, waiting).ifPresent(actions::add);
    return actions;
  }

  private Optional<ScheduleAction> refuseIfCrowded(long now, Waiting waiting) {
    if (queue.get(waiting.key()) == null || mayWait(waiting)) {
      return Optional.empty();
    }
    queue.remove(waiting);
    return Optional.of(refuse(now, waiting, RefusalReason.QUEUE_FULL));
  }

  /** Keeps an account from taking all places of the queue, more strictly the fewer are left. */
  private boolean mayWait(Waiting waiting) {
    int limit = waiting.service().queueLimit();
    int free = limit - queue.size(waiting.service().id());
    if (free < 0) {
      return false;
    }
    double share = policy.queueShare() * waiting.weight() * (free + 1);
    return queue.size(waiting.account()) <= share;
  }

  private List<ScheduleAction> expire(long now) {
    List<ScheduleAction> actions = new ArrayList<>();
    Waiting first = firstToExpire();
    while (first != null && first.latestStartMillis() < now) {
      queue.remove(first);
      actions.add(refuse(now, first, RefusalReason.DEADLINE));
      first = firstToExpire();
    }
    return actions;
  }

  private Decide refuse(long now, Waiting waiting, RefusalReason reason) {
    return refusals.refuseUntil(
        now, pool.kind(), waiting.request(), reason, waiting.estimateMillis());
  }

  private Decide place(long now, Waiting waiting, PlacementPlan plan) {
    leaving.check(document, plan);
    queue.serve(waiting, placer.price(plan, waiting.request()));
    return tracker.open(now, waiting, plan);
  }

  private int weight(PlacementRequest request) {
    AccountSpec account = document.accounts().get(request.account());
    return account == null ? 1 : Math.max(1, account.weight());
  }
}
