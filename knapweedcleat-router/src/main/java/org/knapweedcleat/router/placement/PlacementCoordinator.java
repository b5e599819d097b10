package org.knapweedcleat.router.placement;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.router.gate.PlacementClient;

/**
 * Brings each question to the schedulers that may place it, one after the other, and the first
 * decision that is no refusal back.
 *
 * <p>When the scheduler of the own failure domain cannot be reached the instance places alone, a
 * few requests at a time. When another instance becomes scheduler, open questions are asked there
 * again; a decision that comes too late is cancelled where it was made.
 */
public final class PlacementCoordinator implements PlacementClient {

  private static final int MAX_LOCAL_PLACEMENTS = 4;
  private static final long RELAYED_RETENTION_MILLIS = 600_000;

  private final IncarnationId self;
  private final LocalSchedulers localSchedulers;
  private final SchedulerClient schedulerClient;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final Map<AttemptId, PendingPlacement> pending = new HashMap<>();
  private final Map<AttemptId, ActivePlacement> activePlacements = new HashMap<>();
  private MembershipView view;

  private PlacementCoordinator(
      MembershipView view,
      LocalSchedulers local,
      SchedulerClient link,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.view = Objects.requireNonNull(view, "view");
    this.self = view.self().incarnation();
    this.localSchedulers = Objects.requireNonNull(local, "local");
    this.schedulerClient = Objects.requireNonNull(link, "link");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
  }

  /**
   * Returns a desk.
   *
   * @param view who lives
   * @param local the schedulers of this instance
   * @param link reaches those of others
   * @param nowMillis the monotonic clock
   * @param metrics counts placements made alone
   * @return the desk
   */
  public static PlacementCoordinator of(
      MembershipView view,
      LocalSchedulers local,
      SchedulerClient link,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    return new PlacementCoordinator(view, local, link, nowMillis, metrics);
  }

  @Override
  public Uni<PlacementDecision> place(PlacementRequest request) {
    return startPlacement(request, localSchedulers.candidates(request));
  }

  /**
   * Brings a question of an instance in another failure domain to the scheduler of this one.
   *
   * @param request the question
   * @return the decision
   */
  public Uni<PlacementDecision> relay(PlacementRequest request) {
    return startPlacement(
        request, List.of(new PlacementCandidate(view.self().domain(), request.remainingMillis())));
  }

  @Override
  public void report(PlacementProgress progress) {
    AttemptId id = AttemptId.of(progress);
    boolean terminal = progress.stage().isTerminal();
    ActivePlacement known = terminal ? activePlacements.remove(id) : activePlacements.get(id);
    if (known != null) {
      int attempt = known.schedulerAttemptId().attempt();
      sendProgress(
          known.scheduler(),
          new PlacementProgress(progress.request(), attempt, progress.stage(), progress.tokens()));
    }
    PendingPlacement open = terminal ? pending.remove(id) : null;
    if (open != null) {
      withdraw(open);
    }
  }

  /**
   * Takes over who lives; open questions go to the scheduler that the pool has now.
   *
   * @param newView who lives
   */
  public void updateMembers(MembershipView newView) {
    view = newView;
    for (PendingPlacement open : List.copyOf(pending.values())) {
      Optional<IncarnationId> scheduler = schedulerOf(open);
      if (isPending(open) && scheduler.isPresent() && !scheduler.equals(open.scheduler())) {
        askScheduler(open, scheduler.get());
      }
    }
  }

  /**
   * Refuses the questions whose deadline has passed without a decision, and forgets what was
   * relayed for instances that never reported an end.
   */
  public void tick() {
    long now = nowMillis.getAsLong();
    activePlacements.entrySet().removeIf(entry -> isExpired(entry.getKey(), entry.getValue(), now));
    for (PendingPlacement open : List.copyOf(pending.values())) {
      if (open.isOverdue(now) && pending.remove(open.id(), open)) {
        withdraw(open);
        open.refuse();
      }
    }
  }

  /**
   * Lists the requests that this instance has placed in a pool.
   *
   * @param pool the pool
   * @return a copy
   */
  public Set<RequestId> placedRequests(PoolId pool) {
    return activePlacements.entrySet().stream()
        .filter(entry -> entry.getValue().pool().equals(pool))
        .map(entry -> entry.getKey().request())
        .collect(Collectors.toSet());
  }

  /**
   * Returns the incarnations that hold placements of this instance in a pool.
   *
   * @param pool the pool
   * @return a copy
   */
  public Set<IncarnationId> placingSchedulers(PoolId pool) {
    return activePlacements.values().stream()
        .filter(known -> known.pool().equals(pool))
        .map(ActivePlacement::scheduler)
        .collect(Collectors.toSet());
  }

  private Uni<PlacementDecision> startPlacement(PlacementRequest request, List<PlacementCandidate> legs) {
    return Uni.createFrom().emitter(emitter -> addPending(request, legs, emitter));
  }

  private void addPending(
      PlacementRequest request,
      List<PlacementCandidate> legs,
      UniEmitter<? super PlacementDecision> emitter) {
    PendingPlacement open = PendingPlacement.create(request, nowMillis.getAsLong(), legs, emitter);
    pending.put(open.id(), open);
    askNextReachable(open);
  }

  private void askNextReachable(PendingPlacement open) {
    while (open.hasCandidate()) {
      Optional<IncarnationId> scheduler = schedulerOf(open);
      if (scheduler.isPresent()) {
        askScheduler(open, scheduler.get());
        return;
      }
      open.advance(Optional.empty());
    }
    if (pending.remove(open.id(), open)) {
      open.refuse();
    }
  }

  private Optional<IncarnationId> schedulerOf(PendingPlacement open) {
    return poolOf(open)
        .flatMap(pool -> view.schedulerOf(pool, open.domain()))
        .map(Member::incarnation);
  }

  private Optional<PoolId> poolOf(PendingPlacement open) {
    return localSchedulers.poolOf(open.request().service());
  }

  private void askScheduler(PendingPlacement open, IncarnationId scheduler) {
    PlacementRequest asked = open.requestFor(scheduler, nowMillis.getAsLong());
    ActivePlacement leg =
        new ActivePlacement(scheduler, open.schedulerAttemptId(), poolOf(open).orElseThrow(), nowMillis.getAsLong());
    if (scheduler.equals(self)) {
      localSchedulers.submit(asked).subscribe().with(decision -> onDecision(open, leg, decision));
      return;
    }
    schedulerClient.ask(scheduler, asked, asked.remainingMillis())
        .subscribe()
        .with(answer -> onResponse(open, leg, answer), lost -> onNoResponse(open, leg));
  }

  private void onResponse(PendingPlacement open, ActivePlacement leg, PeerMessage answer) {
    if (answer instanceof PlacementDecision decision) {
      onDecision(open, leg, decision);
      return;
    }
    onNoResponse(open, leg);
  }

  private void onDecision(PendingPlacement open, ActivePlacement leg, PlacementDecision decision) {
    boolean refused = decision instanceof PlacementDecision.Refused;
    boolean expected = isPending(open) && open.schedulerAttemptId().equals(leg.schedulerAttemptId());
    if (!expected) {
      cancelUnusedDecision(open, leg, refused);
      return;
    }
    if (refused) {
      open.advance(Optional.of((PlacementDecision.Refused) decision));
      askNextReachable(open);
      return;
    }
    pending.remove(open.id());
    activePlacements.put(open.id(), leg);
    open.complete(decision.withAttempt(open.request().attempt()));
  }

  private void cancelUnusedDecision(PendingPlacement open, ActivePlacement leg, boolean refused) {
    if (refused || leg.equals(activePlacements.get(open.id()))) {
      return;
    }
    metrics.counter("placement.decisions.unused").inc();
    cancel(leg.scheduler(), leg.schedulerAttemptId());
  }

  private void onNoResponse(PendingPlacement open, ActivePlacement leg) {
    boolean current = isPending(open) && open.schedulerAttemptId().equals(leg.schedulerAttemptId());
    if (!current || !open.scheduler().equals(Optional.of(leg.scheduler()))) {
      return;
    }
    if (open.domain().equals(view.self().domain()) && mayPlaceLocally(open)) {
      metrics.counter("placement.alone").inc();
      askScheduler(open, self);
      return;
    }
    open.advance(Optional.empty());
    askNextReachable(open);
  }

  private boolean mayPlaceLocally(PendingPlacement open) {
    return poolOf(open).filter(pool -> localSchedulers.activePlacements(pool) < MAX_LOCAL_PLACEMENTS).isPresent();
  }

  private boolean isExpired(AttemptId id, ActivePlacement known, long now) {
    return now - known.askedAtMillis() > RELAYED_RETENTION_MILLIS
        && id.request().owner().filter(self::equals).isEmpty();
  }

  private boolean isPending(PendingPlacement open) {
    return pending.get(open.id()) == open;
  }

  private void withdraw(PendingPlacement open) {
    open.scheduler().ifPresent(scheduler -> cancel(scheduler, open.schedulerAttemptId()));
  }

  private void cancel(IncarnationId scheduler, AttemptId legId) {
    sendProgress(
        scheduler,
        new PlacementProgress(legId.request(), legId.attempt(), PlacementStage.CANCELLED, 0));
  }

  private void sendProgress(IncarnationId scheduler, PlacementProgress progress) {
    if (scheduler.equals(self)) {
      localSchedulers.applyProgress(progress);
      return;
    }
    schedulerClient.send(scheduler, progress);
  }

  /** Where a placement was made, and the name under which it is known there. */
  private record ActivePlacement(IncarnationId scheduler, AttemptId schedulerAttemptId, PoolId pool, long askedAtMillis) {}
}
