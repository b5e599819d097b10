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
import org.knapweedcleat.router.gate.PlacementGate;

/**
 * Brings each question to the schedulers that may place it, one after the other, and the first
 * decision that is no refusal back.
 *
 * <p>When the scheduler of the own failure domain cannot be reached the instance places alone, a
 * few requests at a time. When another instance becomes scheduler, open questions are asked there
 * again; a decision that comes too late is cancelled where it was made.
 */
public final class PlacementDesk implements PlacementGate {

  private static final int MAX_PLACEMENTS_ALONE = 4;
  private static final long RELAYED_MEMORY_MILLIS = 600_000;

  private final IncarnationId self;
  private final LocalSchedulers local;
  private final SchedulerLink link;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final Map<AttemptId, OpenQuestion> pending = new HashMap<>();
  private final Map<AttemptId, Placed> placed = new HashMap<>();
  private MembershipView view;

  private PlacementDesk(
      MembershipView view,
      LocalSchedulers local,
      SchedulerLink link,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.view = Objects.requireNonNull(view, "view");
    this.self = view.self().incarnation();
    this.local = Objects.requireNonNull(local, "local");
    this.link = Objects.requireNonNull(link, "link");
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
  public static PlacementDesk of(
      MembershipView view,
      LocalSchedulers local,
      SchedulerLink link,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    return new PlacementDesk(view, local, link, nowMillis, metrics);
  }

  @Override
  public Uni<PlacementDecision> place(PlacementRequest request) {
    return question(request, local.legs(request));
  }

  /**
   * Brings a question of an instance in another failure domain to the scheduler of this one.
   *
   * @param request the question
   * @return the decision
   */
  public Uni<PlacementDecision> relay(PlacementRequest request) {
    return question(
        request, List.of(new PlacementCandidate(view.self().domain(), request.remainingMillis())));
  }

  @Override
  public void report(PlacementProgress progress) {
    AttemptId id = AttemptId.of(progress);
    boolean terminal = progress.stage().isTerminal();
    Placed known = terminal ? placed.remove(id) : placed.get(id);
    if (known != null) {
      int attempt = known.legId().attempt();
      tell(
          known.scheduler(),
          new PlacementProgress(progress.request(), attempt, progress.stage(), progress.tokens()));
    }
    OpenQuestion open = terminal ? pending.remove(id) : null;
    if (open != null) {
      withdraw(open);
    }
  }

  /**
   * Takes over who lives; open questions go to the scheduler that the pool has now.
   *
   * @param newView who lives
   */
  public void members(MembershipView newView) {
    view = newView;
    for (OpenQuestion open : List.copyOf(pending.values())) {
      Optional<IncarnationId> scheduler = schedulerOf(open);
      if (isOpen(open) && scheduler.isPresent() && !scheduler.equals(open.scheduler())) {
        ask(open, scheduler.get());
      }
    }
  }

  /**
   * Refuses the questions whose deadline has passed without a decision, and forgets what was
   * relayed for instances that never reported an end.
   */
  public void tick() {
    long now = nowMillis.getAsLong();
    placed.entrySet().removeIf(entry -> isForgotten(entry.getKey(), entry.getValue(), now));
    for (OpenQuestion open : List.copyOf(pending.values())) {
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
  public Set<RequestId> placed(PoolId pool) {
    return placed.entrySet().stream()
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
  public Set<IncarnationId> placers(PoolId pool) {
    return placed.values().stream()
        .filter(known -> known.pool().equals(pool))
        .map(Placed::scheduler)
        .collect(Collectors.toSet());
  }

  private Uni<PlacementDecision> question(PlacementRequest request, List<PlacementCandidate> legs) {
    return Uni.createFrom().emitter(emitter -> open(request, legs, emitter));
  }

  private void open(
      PlacementRequest request,
      List<PlacementCandidate> legs,
      UniEmitter<? super PlacementDecision> emitter) {
    OpenQuestion open = OpenQuestion.of(request, nowMillis.getAsLong(), legs, emitter);
    pending.put(open.id(), open);
    askLeg(open);
  }

  private void askLeg(OpenQuestion open) {
    while (open.hasLeg()) {
      Optional<IncarnationId> scheduler = schedulerOf(open);
      if (scheduler.isPresent()) {
        ask(open, scheduler.get());
        return;
      }
      open.nextLeg(Optional.empty());
    }
    if (pending.remove(open.id(), open)) {
      open.refuse();
    }
  }

  private Optional<IncarnationId> schedulerOf(OpenQuestion open) {
    return poolOf(open)
        .flatMap(pool -> view.schedulerOf(pool, open.domain()))
        .map(Member::incarnation);
  }

  private Optional<PoolId> poolOf(OpenQuestion open) {
    return local.poolOf(open.request().service());
  }

  private void ask(OpenQuestion open, IncarnationId scheduler) {
    PlacementRequest asked = open.askedOf(scheduler, nowMillis.getAsLong());
    Placed leg =
        new Placed(scheduler, open.legId(), poolOf(open).orElseThrow(), nowMillis.getAsLong());
    if (scheduler.equals(self)) {
      local.submit(asked).subscribe().with(decision -> onDecision(open, leg, decision));
      return;
    }
    link.ask(scheduler, asked, asked.remainingMillis())
        .subscribe()
        .with(answer -> onAnswer(open, leg, answer), lost -> onLost(open, leg));
  }

  private void onAnswer(OpenQuestion open, Placed leg, PeerMessage answer) {
    if (answer instanceof PlacementDecision decision) {
      onDecision(open, leg, decision);
      return;
    }
    onLost(open, leg);
  }

  private void onDecision(OpenQuestion open, Placed leg, PlacementDecision decision) {
    boolean refused = decision instanceof PlacementDecision.Refused;
    boolean expected = isOpen(open) && open.legId().equals(leg.legId());
    if (!expected) {
      cancelUnused(open, leg, refused);
      return;
    }
    if (refused) {
      open.nextLeg(Optional.of((PlacementDecision.Refused) decision));
      askLeg(open);
      return;
    }
    pending.remove(open.id());
    placed.put(open.id(), leg);
    open.complete(decision.withAttempt(open.request().attempt()));
  }

  private void cancelUnused(OpenQuestion open, Placed leg, boolean refused) {
    if (refused || leg.equals(placed.get(open.id()))) {
      return;
    }
    metrics.counter("placement.decisions.unused").inc();
    cancel(leg.scheduler(), leg.legId());
  }

  private void onLost(OpenQuestion open, Placed leg) {
    boolean current = isOpen(open) && open.legId().equals(leg.legId());
    if (!current || !open.scheduler().equals(Optional.of(leg.scheduler()))) {
      return;
    }
    if (open.domain().equals(view.self().domain()) && mayPlaceAlone(open)) {
      metrics.counter("placement.alone").inc();
      ask(open, self);
      return;
    }
    open.nextLeg(Optional.empty());
    askLeg(open);
  }

  private boolean mayPlaceAlone(OpenQuestion open) {
    return poolOf(open).filter(pool -> local.placements(pool) < MAX_PLACEMENTS_ALONE).isPresent();
  }

  private boolean isForgotten(AttemptId id, Placed known, long now) {
    return now - known.askedMillis() > RELAYED_MEMORY_MILLIS
        && id.request().owner().filter(self::equals).isEmpty();
  }

  private boolean isOpen(OpenQuestion open) {
    return pending.get(open.id()) == open;
  }

  private void withdraw(OpenQuestion open) {
    open.scheduler().ifPresent(scheduler -> cancel(scheduler, open.legId()));
  }

  private void cancel(IncarnationId scheduler, AttemptId legId) {
    tell(
        scheduler,
        new PlacementProgress(legId.request(), legId.attempt(), PlacementStage.CANCELLED, 0));
  }

  private void tell(IncarnationId scheduler, PlacementProgress progress) {
    if (scheduler.equals(self)) {
      local.progress(progress);
      return;
    }
    link.tell(scheduler, progress);
  }

  /** Where a placement was made, and the name under which it is known there. */
  private record Placed(IncarnationId scheduler, AttemptId legId, PoolId pool, long askedMillis) {}
}
