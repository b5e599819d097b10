package org.knapweedcleat.router.placement;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MemberView;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.schedule.RefusalReason;
import org.knapweedcleat.router.gate.PlacementGate;

/**
 * Brings each question to the scheduler of its pool and the first answer back.
 *
 * <p>When the scheduler cannot be reached the instance places alone, a few requests at a time. When
 * another instance becomes scheduler, open questions are asked there again; a second decision is
 * cancelled where it was made.
 */
public final class PlacementDesk implements PlacementGate {

  private static final int MAX_PLACEMENTS_ALONE = 4;
  private static final long RETRY_ALONE_MILLIS = 1000;

  private final IncarnationId self;
  private final LocalSchedulers local;
  private final SchedulerLink link;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final Map<AttemptId, Pending> pending = new HashMap<>();
  private final Map<AttemptId, IncarnationId> placedBy = new HashMap<>();
  private MemberView view;

  private PlacementDesk(
      MemberView view,
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
      MemberView view,
      LocalSchedulers local,
      SchedulerLink link,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    return new PlacementDesk(view, local, link, nowMillis, metrics);
  }

  @Override
  public Uni<PlacementDecision> place(PlacementRequest request) {
    return Uni.createFrom().emitter(emitter -> open(request, emitter));
  }

  @Override
  public void report(PlacementProgress progress) {
    AttemptId id = AttemptId.of(progress);
    boolean terminal = progress.stage().isTerminal();
    IncarnationId scheduler = terminal ? placedBy.remove(id) : placedBy.get(id);
    if (scheduler != null) {
      tell(scheduler, progress);
    }
    Pending open = terminal ? pending.remove(id) : null;
    if (open != null && open.scheduler != null) {
      tell(open.scheduler, progress);
    }
  }

  /**
   * Takes over who lives; open questions go to the scheduler that the pool has now.
   *
   * @param newView who lives
   */
  public void members(MemberView newView) {
    view = newView;
    for (Pending open : List.copyOf(pending.values())) {
      IncarnationId scheduler = schedulerOf(open.request).orElse(self);
      if (!scheduler.equals(open.scheduler)) {
        ask(open, scheduler);
      }
    }
  }

  /** Refuses the questions whose deadline has passed without a decision. */
  public void tick() {
    long now = nowMillis.getAsLong();
    for (Pending open : List.copyOf(pending.values())) {
      if (now >= open.deadlineMillis) {
        withdraw(open);
        resolve(open, refuse(open.request, RefusalReason.DEADLINE));
      }
    }
  }

  private void open(PlacementRequest request, UniEmitter<? super PlacementDecision> emitter) {
    long deadlineMillis = nowMillis.getAsLong() + request.remainingMillis();
    Pending open = new Pending(request, deadlineMillis, emitter);
    pending.put(AttemptId.of(request), open);
    ask(open, schedulerOf(request).orElse(self));
  }

  private Optional<IncarnationId> schedulerOf(PlacementRequest request) {
    Optional<PoolId> pool = local.poolOf(request.service());
    return pool.flatMap(known -> view.schedulerOf(known, view.self().domain()))
        .map(Member::incarnation);
  }

  private void ask(Pending open, IncarnationId scheduler) {
    open.scheduler = scheduler;
    PlacementRequest request = open.remaining(nowMillis.getAsLong());
    if (scheduler.equals(self)) {
      local.submit(request).subscribe().with(decision -> onDecision(open, self, decision));
      return;
    }
    link.ask(scheduler, request, request.remainingMillis())
        .subscribe()
        .with(answer -> onAnswer(open, scheduler, answer), lost -> onLost(open, scheduler));
  }

  private void onAnswer(Pending open, IncarnationId scheduler, PeerMessage answer) {
    if (answer instanceof PlacementDecision decision) {
      onDecision(open, scheduler, decision);
      return;
    }
    onLost(open, scheduler);
  }

  private void onDecision(Pending open, IncarnationId scheduler, PlacementDecision decision) {
    AttemptId id = AttemptId.of(open.request);
    if (pending.get(id) != open) {
      cancelUnused(scheduler, decision);
      return;
    }
    if (!(decision instanceof PlacementDecision.Refused)) {
      placedBy.put(id, scheduler);
    }
    resolve(open, decision);
  }

  private void cancelUnused(IncarnationId scheduler, PlacementDecision decision) {
    if (decision instanceof PlacementDecision.Refused) {
      return;
    }
    AttemptId id = AttemptId.of(decision);
    if (scheduler.equals(placedBy.get(id))) {
      return;
    }
    metrics.counter("placement.decisions.unused").inc();
    tell(scheduler, cancelled(id));
  }

  private void onLost(Pending open, IncarnationId scheduler) {
    boolean current = pending.get(AttemptId.of(open.request)) == open;
    if (!current || !scheduler.equals(open.scheduler)) {
      return;
    }
    metrics.counter("placement.alone").inc();
    PoolId pool = local.poolOf(open.request.service()).orElse(null);
    if (pool == null || local.placements(pool) >= MAX_PLACEMENTS_ALONE) {
      resolve(open, refuse(open.request, RefusalReason.NO_ENDPOINT));
      return;
    }
    ask(open, self);
  }

  private void withdraw(Pending open) {
    if (open.scheduler != null) {
      tell(open.scheduler, cancelled(AttemptId.of(open.request)));
    }
  }

  private void tell(IncarnationId scheduler, PlacementProgress progress) {
    if (scheduler.equals(self)) {
      local.progress(progress);
      return;
    }
    link.tell(scheduler, progress);
  }

  private void resolve(Pending open, PlacementDecision decision) {
    if (pending.remove(AttemptId.of(open.request), open)) {
      open.emitter.complete(decision);
    }
  }

  private static PlacementProgress cancelled(AttemptId id) {
    return new PlacementProgress(id.request(), id.attempt(), PlacementStage.CANCELLED, 0);
  }

  private static PlacementDecision refuse(PlacementRequest request, RefusalReason reason) {
    return new PlacementDecision.Refused(
        request.request(), request.attempt(), reason, RETRY_ALONE_MILLIS);
  }

  private static final class Pending {
    private final PlacementRequest request;
    private final long deadlineMillis;
    private final UniEmitter<? super PlacementDecision> emitter;
    private IncarnationId scheduler;

    Pending(
        PlacementRequest request,
        long deadlineMillis,
        UniEmitter<? super PlacementDecision> emitter) {
      this.request = request;
      this.deadlineMillis = deadlineMillis;
      this.emitter = emitter;
    }

    PlacementRequest remaining(long now) {
      return request.withRemainingMillis(Math.max(1, deadlineMillis - now));
    }
  }
}
