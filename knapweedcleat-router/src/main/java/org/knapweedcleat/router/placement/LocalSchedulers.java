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
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PoolScheduler;
import org.knapweedcleat.core.schedule.RefusalReason;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.core.schedule.ScheduleAction;
import org.knapweedcleat.core.schedule.SchedulePolicy;

/** The pool schedulers of this instance, one per pool, for its own failure domain. */
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
      FailureDomainId localDomain,
      SchedulePolicy policy,
      InvariantMonitor monitor,
      MetricRegistry metrics,
      LongSupplier nowMillis,
      OrphanCanceller canceller) {
    this.localDomain = Objects.requireNonNull(localDomain, "domain");
    this.policy = Objects.requireNonNull(policy, "policy");
    this.monitor = Objects.requireNonNull(monitor, "monitor");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.canceller = Objects.requireNonNull(canceller, "canceller");
  }

  /**
   * Returns an empty set of schedulers.
   *
   * @param localDomain the failure domain of this instance
   * @param policy the scheduling policy
   * @param monitor counts invariant violations
   * @param metrics the registry for the schedulers' counters
   * @param nowMillis the monotonic clock
   * @param canceller cancels orphaned requests
   * @return the schedulers
   */
  public static LocalSchedulers of(
      FailureDomainId localDomain,
      SchedulePolicy policy,
      InvariantMonitor monitor,
      MetricRegistry metrics,
      LongSupplier nowMillis,
      OrphanCanceller canceller) {
    return new LocalSchedulers(localDomain, policy, monitor, metrics, nowMillis, canceller);
  }

  /**
   * Applies a document and removes the schedulers of pools that it no longer declares.
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
   * Submits a request to the scheduler of its pool.
   *
   * @param request the placement request
   * @return the decision, once it is made
   */
  public Uni<PlacementDecision> submit(PlacementRequest request) {
    Optional<PoolId> pool = poolOf(request.service());
    if (pool.isEmpty()) {
      return Uni.createFrom().item(refusal(request, UNKNOWN_SERVICE_RETRY_MILLIS));
    }
    return Uni.createFrom().emitter(emitter -> submitToPool(pool.get(), request, emitter));
  }

  /**
   * Counts the active placements of a pool.
   *
   * @param pool the pool
   * @return the count
   */
  public int activePlacements(PoolId pool) {
    PoolScheduler scheduler = schedulers.get(pool);
    return scheduler == null ? 0 : scheduler.activePlacements();
  }

  /**
   * Finds the pool that runs a service.
   *
   * @param service the service
   * @return the pool, if the service is declared
   */
  public Optional<PoolId> poolOf(ServiceId service) {
    return Optional.ofNullable(document)
        .map(fleetDocument -> fleetDocument.services().get(service))
        .map(spec -> spec.pool());
  }

  /**
   * Lists the failure domains that may place a request, in the order to ask them.
   *
   * @param request the placement request
   * @return the failure domains, each with its time limit
   */
  public List<PlacementCandidate> candidates(PlacementRequest request) {
    ServiceSpec service = document == null ? null : document.services().get(request.service());
    if (service == null) {
      return List.of();
    }
    boolean isFirstAttempt = request.attempt() == 1;
    long targetMillis = isFirstAttempt ? service.firstTokenTargetMillis() : 0;
    return PlacementCandidate.plan(
        document, service, localDomain, targetMillis, request.remainingMillis());
  }

  /**
   * Records the progress of a placement.
   *
   * @param progress the stage reached
   */
  public void applyProgress(PlacementProgress progress) {
    forEachScheduler(scheduler -> scheduler.progress(nowMillis.getAsLong(), progress));
  }

  /**
   * Applies a load report of an endpoint.
   *
   * @param pool the pool that the endpoint belongs to
   * @param load the report
   */
  public void applyLoad(PoolId pool, EndpointLoad load) {
    execute(schedulerFor(pool).applyLoad(nowMillis.getAsLong(), load));
  }

  /**
   * Applies a cache event of an endpoint.
   *
   * @param pool the pool that the endpoint belongs to
   * @param hint the event
   */
  public void applyCacheHint(PoolId pool, CacheHint hint) {
    schedulerFor(pool).applyCacheHint(hint);
  }

  /**
   * Reports that an endpoint does not respond.
   *
   * @param pool the pool that the endpoint belongs to
   * @param endpoint the endpoint
   */
  public void endpointFailed(PoolId pool, EndpointId endpoint) {
    execute(schedulerFor(pool).endpointFailed(nowMillis.getAsLong(), endpoint));
  }

  /**
   * Applies the list of requests that an incarnation is still serving.
   *
   * @param claims the requests
   */
  public void updateClaims(RunningClaims claims) {
    PoolScheduler scheduler = schedulers.get(claims.pool());
    if (scheduler != null) {
      execute(scheduler.updateClaims(nowMillis.getAsLong(), claims.owner(), claims.running()));
    }
  }

  /**
   * Updates the set of live incarnations.
   *
   * @param liveIncarnations the live incarnations of the failure domain
   */
  public void updateMembers(Set<IncarnationId> liveIncarnations) {
    members = Set.copyOf(liveIncarnations);
    schedulers.values().forEach(scheduler -> scheduler.updateMembers(liveIncarnations));
  }

  /**
   * Reports that an incarnation has ended.
   *
   * @param owner the incarnation
   */
  public void incarnationEnded(IncarnationId owner) {
    forEachScheduler(scheduler -> scheduler.incarnationEnded(nowMillis.getAsLong(), owner));
  }

  /** Runs time-dependent work in all schedulers. */
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

  private void forEachScheduler(Function<PoolScheduler, List<ScheduleAction>> operation) {
    List<ScheduleAction> actions = new ArrayList<>();
    schedulers.values().forEach(scheduler -> actions.addAll(operation.apply(scheduler)));
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
    List<UniEmitter<? super PlacementDecision>> emitters =
        pendingEmitters.remove(AttemptId.of(decision));
    if (emitters != null) {
      emitters.forEach(emitter -> emitter.complete(decision));
    }
  }

  private static PlacementDecision refusal(PlacementRequest request, long retryAfterMillis) {
    return new PlacementDecision.Refused(
        request.request(), request.attempt(), RefusalReason.NO_ENDPOINT, retryAfterMillis);
  }
}
