package org.knapweedcleat.router.placement;

import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.CacheHint;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PoolScheduler;
import org.knapweedcleat.core.schedule.RefusalReason;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.core.schedule.ScheduleAction;
import org.knapweedcleat.core.schedule.SchedulePolicy;

/** The schedulers that this instance runs, one a pool, for its own failure domain. */
public final class LocalSchedulers {

  private static final long UNKNOWN_SERVICE_RETRY_MILLIS = 1000;

  private final FailureDomainId localDomain;
  private final SchedulePolicy policy;
  private final InvariantMonitor monitor;
  private final MetricRegistry metrics;
  private final LongSupplier nowMillis;
  private final OrphanCanceller canceller;
  private final Map<PoolId, PoolScheduler> schedulers = new HashMap<>();
  private final Map<AttemptId, List<UniEmitter<? super PlacementDecision>>> pendingEmitters =
      new HashMap<>();
  private FleetDocument document;
  private Set<IncarnationId> members = Set.of();

  private LocalSchedulers(
      FailureDomainId domain,
      SchedulePolicy policy,
      InvariantMonitor monitor,
      MetricRegistry metrics,
      LongSupplier nowMillis,
      OrphanCanceller canceller) {
    this.localDomain = Objects.requireNonNull(domain, "domain");
    this.policy = Objects.requireNonNull(policy, "policy");
    this.monitor = Objects.requireNonNull(monitor, "monitor");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.canceller = Objects.requireNonNull(canceller, "canceller");
  }

  /**
   * Returns an instance's schedulers, none of which has state yet.
   *
   * @param domain the failure domain
   * @param policy how the schedulers decide
   * @param monitor counts violations of invariants
   * @param metrics where the schedulers' counters are registered
   * @param nowMillis the monotonic clock
   * @param canceller cancels orphans
   * @return the schedulers
   */
  public static LocalSchedulers of(
      FailureDomainId domain,
      SchedulePolicy policy,
      InvariantMonitor monitor,
      MetricRegistry metrics,
      LongSupplier nowMillis,
      OrphanCanceller canceller) {
    return new LocalSchedulers(domain, policy, monitor, metrics, nowMillis, canceller);
  }

  /**
   * Takes over a document; schedulers of pools that are gone are dropped.
   *
   * @param newDocument the document in force
   */
  public void configure(FleetDocument newDocument) {
    document = newDocument;
    schedulers.keySet().retainAll(newDocument.pools().keySet());
    newDocument.pools().keySet().forEach(this::schedulerFor);
    forEachScheduler(scheduler -> scheduler.configure(nowMillis.getAsLong(), newDocument));
  }

  /**
   * Submits a request.
   *
   * @param request the question
   * @return the decision, as soon as there is one
   */
  public Uni<PlacementDecision> submit(PlacementRequest request) {
    Optional<PoolId> pool = poolOf(request.service());
    if (pool.isEmpty()) {
      return Uni.createFrom().item(refusal(request, UNKNOWN_SERVICE_RETRY_MILLIS));
    }
    return Uni.createFrom().emitter(emitter -> submitToPool(pool.get(), request, emitter));
  }

  /**
   * Counts the placements of a pool that are not over.
   *
   * @param pool the pool
   * @return the count
   */
  public int activePlacements(PoolId pool) {
    PoolScheduler scheduler = schedulers.get(pool);
    return scheduler == null ? 0 : scheduler.activePlacements();
  }

  /**
   * Finds the pool that does a service's work.
   *
   * @param service the service
   * @return the pool, if the service is declared
   */
  public Optional<PoolId> poolOf(ServiceId service) {
    return Optional.ofNullable(document)
        .map(known -> known.services().get(service))
        .map(spec -> spec.pool());
  }

  /**
   * Lists whom a request may ask, in order.
   *
   * @param request the question
   * @return the failure domains with the time that each may take
   */
  public List<PlacementCandidate> candidates(PlacementRequest request) {
    ServiceSpec service = document == null ? null : document.services().get(request.service());
    if (service == null) {
      return List.of();
    }
    boolean firstTime = request.attempt() == 1;
    long targetMillis = firstTime ? service.firstTokenTargetMillis() : 0;
    return PlacementCandidate.plan(document, service, localDomain, targetMillis, request.remainingMillis());
  }

  /**
   * Takes note of how far a placement has come.
   *
   * @param progress the stage reached
   */
  public void applyProgress(PlacementProgress progress) {
    forEachScheduler(scheduler -> scheduler.progress(nowMillis.getAsLong(), progress));
  }

  /**
   * Takes note of a load report.
   *
   * @param pool the pool that the endpoint belongs to
   * @param load the report
   */
  public void applyLoad(PoolId pool, EndpointLoad load) {
    execute(schedulerFor(pool).applyLoad(nowMillis.getAsLong(), load));
  }

  /**
   * Takes note of a cache event.
   *
   * @param pool the pool that the endpoint belongs to
   * @param hint the event
   */
  public void applyCacheHint(PoolId pool, CacheHint hint) {
    schedulerFor(pool).applyCacheHint(hint);
  }

  /**
   * Takes note that an endpoint does not answer.
   *
   * @param pool the pool that the endpoint belongs to
   * @param endpoint the endpoint
   */
  public void endpointFailed(PoolId pool, EndpointId endpoint) {
    execute(schedulerFor(pool).endpointFailed(nowMillis.getAsLong(), endpoint));
  }

  /**
   * Takes note of what an incarnation still serves.
   *
   * @param claims its requests
   */
  public void updateClaims(RunningClaims claims) {
    PoolScheduler scheduler = schedulers.get(claims.pool());
    if (scheduler != null) {
      execute(scheduler.updateClaims(nowMillis.getAsLong(), claims.owner(), claims.running()));
    }
  }

  /**
   * Takes over which incarnations live.
   *
   * @param living the incarnations of the failure domain
   */
  public void updateMembers(Set<IncarnationId> living) {
    members = Set.copyOf(living);
    schedulers.values().forEach(scheduler -> scheduler.updateMembers(living));
  }

  /**
   * Takes note that an incarnation is over.
   *
   * @param owner the incarnation
   */
  public void incarnationEnded(IncarnationId owner) {
    forEachScheduler(scheduler -> scheduler.incarnationEnded(nowMillis.getAsLong(), owner));
  }

  /** Lets time pass. */
  public void tick() {
    forEachScheduler(scheduler -> scheduler.tick(nowMillis.getAsLong()));
  }

  private void submitToPool(
      PoolId pool, PlacementRequest request, UniEmitter<? super PlacementDecision> emitter) {
    pendingEmitters.computeIfAbsent(AttemptId.of(request), id -> new ArrayList<>()).add(emitter);
    execute(schedulerFor(pool).submit(nowMillis.getAsLong(), request));
  }

  private PoolScheduler schedulerFor(PoolId pool) {
    return schedulers.computeIfAbsent(pool, this::newScheduler);
  }

  private PoolScheduler newScheduler(PoolId pool) {
    PoolScheduler scheduler = PoolScheduler.of(pool, localDomain, policy, monitor);
    String prefix = "schedule." + pool;
    metrics.removeMatching(MetricFilter.startsWith(prefix + "."));
    metrics.registerAll(prefix, scheduler.counters());
    if (document != null) {
      scheduler.configure(nowMillis.getAsLong(), document);
    }
    scheduler.updateMembers(members);
    return scheduler;
  }

  private void forEachScheduler(Function<PoolScheduler, List<ScheduleAction>> step) {
    List<ScheduleAction> actions = new ArrayList<>();
    schedulers.values().forEach(scheduler -> actions.addAll(step.apply(scheduler)));
    execute(actions);
  }

  private void execute(Collection<ScheduleAction> actions) {
    for (ScheduleAction action : actions) {
      if (action instanceof ScheduleAction.SendDecision decide) {
        deliver(decide.decision());
      } else if (action instanceof ScheduleAction.CancelOrphan orphan) {
        canceller.cancelOrphan(orphan.endpoint(), orphan.request());
      }
    }
  }

  private void deliver(PlacementDecision decision) {
    List<UniEmitter<? super PlacementDecision>> emitters = pendingEmitters.remove(AttemptId.of(decision));
    if (emitters != null) {
      emitters.forEach(emitter -> emitter.complete(decision));
    }
  }

  private static PlacementDecision refusal(PlacementRequest request, long retryAfterMillis) {
    return new PlacementDecision.Refused(
        request.request(), request.attempt(), RefusalReason.NO_ENDPOINT, retryAfterMillis);
  }
}
