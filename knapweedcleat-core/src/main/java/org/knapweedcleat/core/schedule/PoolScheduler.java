package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.ScheduleAction.CancelOrphan;
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/**
 * Decides when and where the requests of a pool run in one failure domain.
 *
 * <p>All state is soft: a new scheduler starts empty and rebuilds it from load reports and claims.
 * Two concurrent schedulers reduce efficiency but not correctness, because an endpoint itself
 * refuses work that exceeds its capacity. Not thread-safe. All times are milliseconds of one
 * monotonic clock.
 */
public final class PoolScheduler {

  private static final int MAX_EARLIER_ATTEMPTS = 8;

  private final PoolId poolId;
  private final FailureDomainId domain;
  private final SchedulePolicy policy;
  private final SchedulerCounters counters = SchedulerCounters.create();
  private final FairQueue queue = FairQueue.create();
  private final EndpointTable endpoints;
  private final CostModel costs;
  private final PrefixIndex prefixes;
  private final PlacementRegistry registry;
  private final PlacementTracker tracker;
  private final RefusalHandler refusals;
  private final Dispatcher dispatcher;
  private final OrphanDetector orphanDetector;
  private FleetDocument document;

  private PoolScheduler(
      PoolId pool, FailureDomainId domain, SchedulePolicy policy, InvariantMonitor monitor) {
    this.poolId = Objects.requireNonNull(pool, "pool");
    this.domain = Objects.requireNonNull(domain, "domain");
    this.policy = Objects.requireNonNull(policy, "policy");
    this.endpoints = EndpointTable.of(policy);
    this.costs = CostModel.of(policy);
    this.prefixes = PrefixIndex.of(policy.prefixCapacity());
    this.registry = PlacementRegistry.of(policy.decisionRetentionMillis());
    this.tracker = PlacementTracker.of(endpoints, costs, prefixes, queue, registry, counters);
    PlacementPlanner planner = PlacementPlanner.of(policy, endpoints, costs, prefixes);
    LatencyEstimator estimator = LatencyEstimator.of(policy, endpoints, costs, planner);
    this.refusals = RefusalHandler.of(policy, estimator, registry, counters);
    LeavingEndpointCheck leavingCheck =
        LeavingEndpointCheck.of(Objects.requireNonNull(monitor, "monitor"));
    this.dispatcher =
        Dispatcher.of(policy, queue, tracker, planner, estimator, refusals, leavingCheck);
    this.orphanDetector = OrphanDetector.of(policy.orphanGraceMillis());
  }

  /**
   * Returns a scheduler without state.
   *
   * @param pool the pool
   * @param domain the failure domain
   * @param policy the scheduler's settings
   * @param monitor the monitor that counts invariant violations
   * @return the scheduler
   * @throws NullPointerException if an argument is null
   */
  public static PoolScheduler of(
      PoolId pool, FailureDomainId domain, SchedulePolicy policy, InvariantMonitor monitor) {
    return new PoolScheduler(pool, domain, policy, monitor);
  }

  /**
   * Returns the scheduler's counters.
   *
   * @return the counters
   */
  public SchedulerCounters counters() {
    return counters;
  }

  /**
   * Returns the number of queued requests.
   *
   * @return the count
   */
  public int queuedRequests() {
    return queue.size();
  }

  /**
   * Returns the number of active placements.
   *
   * @return the count
   */
  public int activePlacements() {
    return registry.active().size();
  }

  /**
   * Applies a fleet document.
   *
   * @param now the time
   * @param newDocument the current document
   * @return what is to be done
   */
  public List<ScheduleAction> configure(long now, FleetDocument newDocument) {
    document = newDocument;
    dispatcher.configure(newDocument, newDocument.pools().get(poolId));
    for (EndpointId gone : endpoints.configure(now, document.endpoints(poolId, domain))) {
      prefixes.removeEndpoint(gone);
      orphanDetector.removeEndpoint(gone);
    }
    return dispatcher.dispatch(now);
  }

  /**
   * Submits a request for placement; the decision comes from this call or a later one.
   *
   * @param now the time
   * @param request the placement request; a repeated one gets the same decision
   * @return what is to be done
   */
  public List<ScheduleAction> submit(long now, PlacementRequest request) {
    AttemptKey key = AttemptKey.of(request);
    Optional<SendDecision> known = registry.findDecision(key);
    if (known.isPresent()) {
      return List.of(known.get());
    }
    if (queue.get(key) != null) {
      return List.of();
    }
    Placement other = registry.active(request.request());
    if (other != null && other.queued().request().attempt() > request.attempt()) {
      return List.of(refusals.refuse(now, request, RefusalReason.DEADLINE));
    }
    List<ScheduleAction> actions = new ArrayList<>(endEarlierAttempts(now, request));
    Optional<RefusalReason> impossible = findPermanentRefusal(request);
    if (impossible.isPresent()) {
      actions.add(refusals.refuse(now, request, impossible.get()));
    } else {
      actions.addAll(dispatcher.admit(now, request));
    }
    return actions;
  }

  /**
   * Applies a load report.
   *
   * @param now the time
   * @param load the report
   * @return what is to be done
   */
  public List<ScheduleAction> applyLoad(long now, EndpointLoad load) {
    EndpointTracker endpointTracker = endpoints.get(load.endpoint());
    if (endpointTracker == null) {
      return List.of();
    }
    endpointTracker.applyReport(now, load);
    List<ScheduleAction> actions =
        new ArrayList<>(
            orphanDetector.findOrphans(
                now, load.endpoint(), load.held(), request -> registry.active(request) != null));
    counters.orphansCancelled().inc(actions.size());
    actions.addAll(dispatcher.dispatch(now));
    return actions;
  }

  /**
   * Applies a progress report. A terminal stage of a queued request removes it from the queue;
   * other reports of unknown placements are ignored.
   *
   * @param now the time
   * @param progress the stage reached
   * @return what is to be done
   */
  public List<ScheduleAction> progress(long now, PlacementProgress progress) {
    AttemptKey key = AttemptKey.of(progress);
    Placement placement = registry.active(key);
    if (placement != null) {
      tracker.progress(now, placement, progress);
      return dispatcher.dispatch(now);
    }
    QueuedRequest queued = queue.get(key);
    if (queued == null || !progress.stage().isTerminal()) {
      return List.of();
    }
    queue.remove(queued);
    return List.of(refusals.refuse(now, queued.request(), RefusalReason.DEADLINE));
  }

  /**
   * Applies an endpoint's cache event, which is only a hint for later placements.
   *
   * @param hint the event
   */
  public void applyCacheHint(CacheHint hint) {
    if (hint.stored()) {
      prefixes.addStored(hint.endpoint(), List.of(hint.hash()));
    } else {
      prefixes.removeEvicted(hint.endpoint(), List.of(hint.hash()));
    }
  }

  /**
   * Replaces the set of live incarnations, which decides how soon orphans are detected.
   *
   * @param living all live incarnations of the failure domains that may use the pool
   */
  public void updateMembers(Set<IncarnationId> living) {
    orphanDetector.updateMembers(living);
  }

  /**
   * Replaces an incarnation's claims and ends those of its placements that it does not claim.
   *
   * @param now the time
   * @param owner the incarnation
   * @param running all requests that it is running
   * @return what is to be done
   */
  public List<ScheduleAction> updateClaims(long now, IncarnationId owner, List<RequestId> running) {
    orphanDetector.updateClaims(now, owner, running);
    long settledBefore = now - policy.orphanGraceMillis();
    List<Placement> lost =
        registry.active(
            placement ->
                placement.queued().request().owner().equals(owner)
                    && placement.progressMillis() < settledBefore
                    && !running.contains(placement.request()));
    lost.forEach(placement -> tracker.end(now, placement));
    return dispatcher.dispatch(now);
  }

  /**
   * Ends the placements and queued requests of an incarnation that has ended.
   *
   * @param now the time
   * @param owner the incarnation
   * @return what is to be done
   */
  public List<ScheduleAction> incarnationEnded(long now, IncarnationId owner) {
    orphanDetector.incarnationEnded(now, owner);
    queue.ownedBy(owner).forEach(queue::remove);
    List<ScheduleAction> actions = new ArrayList<>();
    for (Placement placement :
        registry.active(placement -> placement.queued().request().owner().equals(owner))) {
      tracker.end(now, placement);
      if (!orphanDetector.isClaimed(now, placement.request())) {
        addCancellations(placement, actions);
      }
    }
    actions.addAll(dispatcher.dispatch(now));
    return actions;
  }

  /**
   * Ends all placements at a failed endpoint and temporarily blocks new work for it.
   *
   * @param now the time
   * @param endpoint the endpoint
   * @return what is to be done
   */
  public List<ScheduleAction> endpointFailed(long now, EndpointId endpoint) {
    EndpointTracker endpointTracker = endpoints.get(endpoint);
    if (endpointTracker == null) {
      return List.of();
    }
    registry
        .active(placement -> placement.uses(endpoint))
        .forEach(placement -> tracker.end(now, placement));
    endpointTracker.recordFailure(now);
    prefixes.removeEndpoint(endpoint);
    return dispatcher.dispatch(now);
  }

  /**
   * Performs periodic work; to be called every few tens of milliseconds.
   *
   * @param now the time
   * @return what is to be done
   */
  public List<ScheduleAction> tick(long now) {
    long silentBefore = now - policy.placementTimeoutMillis();
    registry
        .active(placement -> placement.progressMillis() < silentBefore)
        .forEach(placement -> tracker.end(now, placement));
    registry.prune(now);
    queue.prune();
    return dispatcher.dispatch(now);
  }

  private List<ScheduleAction> endEarlierAttempts(long now, PlacementRequest request) {
    Placement earlier = registry.active(request.request());
    if (earlier != null) {
      tracker.end(now, earlier);
    }
    List<ScheduleAction> actions = new ArrayList<>();
    int first = Math.max(1, request.attempt() - MAX_EARLIER_ATTEMPTS);
    for (int attempt = first; attempt < request.attempt(); attempt++) {
      QueuedRequest queued = queue.get(new AttemptKey(request.request(), attempt));
      if (queued != null) {
        queue.remove(queued);
        actions.add(refusals.refuse(now, queued.request(), RefusalReason.DEADLINE));
      }
    }
    return actions;
  }

  private Optional<RefusalReason> findPermanentRefusal(PlacementRequest request) {
    if (document == null || !document.services().containsKey(request.service())) {
      return Optional.of(RefusalReason.NO_ENDPOINT);
    }
    if (pool().kind() == PoolKind.PLAIN) {
      boolean none = endpoints.active(EndpointRole.PLAIN).isEmpty();
      return none ? Optional.of(RefusalReason.NO_ENDPOINT) : Optional.empty();
    }
    List<EndpointTracker> decodes = endpoints.active(EndpointRole.DECODE);
    if (decodes.isEmpty() || endpoints.active(EndpointRole.PREFILL).isEmpty()) {
      return Optional.of(RefusalReason.NO_ENDPOINT);
    }
    int largestPieces = decodes.stream().mapToInt(EndpointTracker::totalPieces).max().orElse(0);
    return QueuedRequest.piecesOf(request) > largestPieces
        ? Optional.of(RefusalReason.TOO_LARGE)
        : Optional.empty();
  }

  private static void addCancellations(Placement placement, List<ScheduleAction> actions) {
    actions.add(new CancelOrphan(placement.runner(), placement.request()));
    if (placement.prefill() != null) {
      actions.add(new CancelOrphan(placement.prefill(), placement.request()));
    }
  }

  private PoolSpec pool() {
    return document.pools().get(poolId);
  }
}
