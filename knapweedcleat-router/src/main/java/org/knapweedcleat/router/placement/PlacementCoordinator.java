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
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.router.gate.PlacementClient;

/**
 * Asks the candidate schedulers of each request in turn and returns the first decision that is not
 * a refusal.
 *
 * <p>If the scheduler of the local failure domain does not respond, this instance places requests
 * itself, only a few at a time. When another instance becomes the scheduler, pending requests are
 * sent to it again. A decision that arrives too late is cancelled at the scheduler that made it.
 */
public final class PlacementCoordinator implements PlacementClient {

  private static final int MAX_LOCAL_PLACEMENTS = 4;
  private static final long RELAYED_RETENTION_MILLIS = 600_000;

  private final IncarnationId self;
  private final LocalSchedulers localSchedulers;
  private final SchedulerClient schedulerClient;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final Map<AttemptId, PendingPlacement> pendingPlacements = new HashMap<>();
  private final Map<AttemptId, PlacementAttempt> activePlacements = new HashMap<>();
  private MembershipView view;

  private PlacementCoordinator(
      MembershipView view,
      LocalSchedulers localSchedulers,
      SchedulerClient schedulerClient,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.view = Objects.requireNonNull(view, "view");
    this.self = view.self().incarnation();
    this.localSchedulers = Objects.requireNonNull(localSchedulers, "local");
    this.schedulerClient = Objects.requireNonNull(schedulerClient, "link");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
  }

  /**
   * Returns a coordinator.
   *
   * @param view the membership view
   * @param localSchedulers the schedulers that this instance runs
   * @param schedulerClient sends messages to schedulers on other instances
   * @param nowMillis the monotonic clock
   * @param metrics counts local fallback placements and unused decisions
   * @return the coordinator
   */
  public static PlacementCoordinator of(
      MembershipView view,
      LocalSchedulers localSchedulers,
      SchedulerClient schedulerClient,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    return new PlacementCoordinator(view, localSchedulers, schedulerClient, nowMillis, metrics);
  }

  @Override
  public Uni<PlacementDecision> place(PlacementRequest request) {
    return startPlacement(request, localSchedulers.candidates(request));
  }

  /**
   * Relays a request from another failure domain to the scheduler of this one.
   *
   * @param request the placement request
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
    PlacementAttempt placement = terminal ? activePlacements.remove(id) : activePlacements.get(id);
    if (placement != null) {
      int attempt = placement.schedulerAttemptId().attempt();
      sendProgress(
          placement.scheduler(),
          new PlacementProgress(progress.request(), attempt, progress.stage(), progress.tokens()));
    }
    PendingPlacement pending = terminal ? pendingPlacements.remove(id) : null;
    if (pending != null) {
      withdraw(pending);
    }
  }

  /**
   * Updates the membership view and sends pending requests again if their pool's scheduler has
   * changed.
   *
   * @param newView the membership view
   */
  public void updateMembers(MembershipView newView) {
    view = newView;
    for (PendingPlacement pending : List.copyOf(pendingPlacements.values())) {
      Optional<IncarnationId> scheduler = schedulerOf(pending);
      if (isPending(pending) && scheduler.isPresent() && !scheduler.equals(pending.scheduler())) {
        askScheduler(pending, scheduler.get());
      }
    }
  }

  /**
   * Refuses requests whose deadline has passed without a decision, and removes relayed placements
   * that have expired because their instances never reported an end.
   */
  public void tick() {
    long currentMillis = nowMillis.getAsLong();
    activePlacements
        .entrySet()
        .removeIf(entry -> isExpired(entry.getKey(), entry.getValue(), currentMillis));
    for (PendingPlacement pending : List.copyOf(pendingPlacements.values())) {
      if (pending.isOverdue(currentMillis) && pendingPlacements.remove(pending.id(), pending)) {
        withdraw(pending);
        pending.refuse();
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
   * Returns the incarnations whose schedulers placed requests of this instance in a pool.
   *
   * @param pool the pool
   * @return a copy
   */
  public Set<IncarnationId> placingSchedulers(PoolId pool) {
    return activePlacements.values().stream()
        .filter(placement -> placement.pool().equals(pool))
        .map(PlacementAttempt::scheduler)
        .collect(Collectors.toSet());
  }

  private Uni<PlacementDecision> startPlacement(
      PlacementRequest request, List<PlacementCandidate> candidates) {
    return Uni.createFrom().emitter(emitter -> addPending(request, candidates, emitter));
  }

  private void addPending(
      PlacementRequest request,
      List<PlacementCandidate> candidates,
      UniEmitter<? super PlacementDecision> emitter) {
    PendingPlacement pending =
        PendingPlacement.create(request, nowMillis.getAsLong(), candidates, emitter);
    pendingPlacements.put(pending.id(), pending);
    askNextReachable(pending);
  }

  private void askNextReachable(PendingPlacement pending) {
    while (pending.hasCandidate()) {
      Optional<IncarnationId> scheduler = schedulerOf(pending);
      if (scheduler.isPresent()) {
        askScheduler(pending, scheduler.get());
        return;
      }
      pending.advance(Optional.empty());
    }
    if (pendingPlacements.remove(pending.id(), pending)) {
      pending.refuse();
    }
  }

  private Optional<IncarnationId> schedulerOf(PendingPlacement pending) {
    return poolOf(pending)
        .flatMap(pool -> view.schedulerOf(pool, pending.domain()))
        .map(Member::incarnation);
  }

  private Optional<PoolId> poolOf(PendingPlacement pending) {
    return localSchedulers.poolOf(pending.request().service());
  }

  private void askScheduler(PendingPlacement pending, IncarnationId scheduler) {
    PlacementRequest schedulerRequest = pending.requestFor(scheduler, nowMillis.getAsLong());
    PlacementAttempt placement =
        new PlacementAttempt(
            scheduler,
            pending.schedulerAttemptId(),
            poolOf(pending).orElseThrow(),
            nowMillis.getAsLong());
    if (scheduler.equals(self)) {
      localSchedulers
          .submit(schedulerRequest)
          .subscribe()
          .with(decision -> onDecision(pending, placement, decision));
      return;
    }
    schedulerClient
        .ask(scheduler, schedulerRequest, schedulerRequest.remainingMillis())
        .subscribe()
        .with(
            response -> onResponse(pending, placement, response),
            failure -> onNoResponse(pending, placement));
  }

  private void onResponse(
      PendingPlacement pending, PlacementAttempt placement, PeerMessage response) {
    if (response instanceof PlacementDecision decision) {
      onDecision(pending, placement, decision);
      return;
    }
    onNoResponse(pending, placement);
  }

  private void onDecision(
      PendingPlacement pending, PlacementAttempt placement, PlacementDecision decision) {
    boolean refused = decision instanceof PlacementDecision.Refused;
    boolean awaited =
        isPending(pending) && pending.schedulerAttemptId().equals(placement.schedulerAttemptId());
    if (!awaited) {
      cancelUnusedDecision(pending, placement, refused);
      return;
    }
    if (refused) {
      pending.advance(Optional.of((PlacementDecision.Refused) decision));
      askNextReachable(pending);
      return;
    }
    pendingPlacements.remove(pending.id());
    activePlacements.put(pending.id(), placement);
    pending.complete(decision.withAttempt(pending.request().attempt()));
  }

  private void cancelUnusedDecision(
      PendingPlacement pending, PlacementAttempt placement, boolean refused) {
    if (refused || placement.equals(activePlacements.get(pending.id()))) {
      return;
    }
    metrics.counter("placement.decisions.unused").inc();
    cancel(placement.scheduler(), placement.schedulerAttemptId());
  }

  private void onNoResponse(PendingPlacement pending, PlacementAttempt placement) {
    boolean stillAwaited =
        isPending(pending) && pending.schedulerAttemptId().equals(placement.schedulerAttemptId());
    if (!stillAwaited || !pending.scheduler().equals(Optional.of(placement.scheduler()))) {
      return;
    }
    if (pending.domain().equals(view.self().domain()) && mayPlaceLocally(pending)) {
      metrics.counter("placement.alone").inc();
      askScheduler(pending, self);
      return;
    }
    pending.advance(Optional.empty());
    askNextReachable(pending);
  }

  private boolean mayPlaceLocally(PendingPlacement pending) {
    return poolOf(pending)
        .filter(pool -> localSchedulers.activePlacements(pool) < MAX_LOCAL_PLACEMENTS)
        .isPresent();
  }

  private boolean isExpired(AttemptId id, PlacementAttempt placement, long currentMillis) {
    return currentMillis - placement.askedAtMillis() > RELAYED_RETENTION_MILLIS
        && id.request().owner().filter(self::equals).isEmpty();
  }

  private boolean isPending(PendingPlacement pending) {
    return pendingPlacements.get(pending.id()) == pending;
  }

  private void withdraw(PendingPlacement pending) {
    pending.scheduler().ifPresent(scheduler -> cancel(scheduler, pending.schedulerAttemptId()));
  }

  private void cancel(IncarnationId scheduler, AttemptId schedulerAttemptId) {
    sendProgress(
        scheduler,
        new PlacementProgress(
            schedulerAttemptId.request(),
            schedulerAttemptId.attempt(),
            PlacementStage.CANCELLED,
            0));
  }

  private void sendProgress(IncarnationId scheduler, PlacementProgress progress) {
    if (scheduler.equals(self)) {
      localSchedulers.applyProgress(progress);
      return;
    }
    schedulerClient.send(scheduler, progress);
  }

  /** A request sent to a scheduler, with the attempt ID used there. */
  private record PlacementAttempt(
      IncarnationId scheduler, AttemptId schedulerAttemptId, PoolId pool, long askedAtMillis) {}
}
