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
 * Decides which request of a pool runs when and where in one failure domain.
 *
 * <p>All state is soft: a new scheduler starts with none and rebuilds it from load reports and
 * claims. Two schedulers at once cost efficiency, not correctness, since an endpoint's own refusal
 * is final. Not thread-safe. All times are milliseconds of one monotonic clock.
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
    LeavingEndpointCheck leavingCheck = LeavingEndpointCheck.of(Objects.requireNonNull(monitor, "monitor"));
    this.dispatcher = Dispatcher.of(policy, queue, tracker, planner, estimator, refusals, leavingCheck);
    this.orphanDetector = OrphanDetector.of(policy.orphanGraceMillis());
  }

  /**
   * Returns a scheduler that knows nothing yet.
   *
   * @param pool the pool
   * @param domain the failure domain
   * @param policy its settings
   * @param monitor counts violations of invariants
   * @return the scheduler
   * @throws NullPointerException if an argument is null
   */
  public static PoolScheduler of(
      PoolId pool, FailureDomainId domain, SchedulePolicy policy, InvariantMonitor monitor) {
    return new PoolScheduler(pool, domain, policy, monitor);
  }

  /**
   * Returns what was counted.
   *
   * @return the counters
   */
  public SchedulerCounters counters() {
    return counters;
  }

  /**
   * Returns how many requests wait.
   *
   * @return the count
   */
  public int queuedRequests() {
    return queue.size();
  }

  /**
   * Returns how many placements are not over.
   *
   * @return the count
   */
  public int activePlacements() {
    return registry.active().size();
  }

  /**
   * Takes over a document.
   *
   * @param now the time
   * @param newDocument the document in force
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
   * Asks where a request shall run; the decision comes at once or from a later call.
   *
   * @param now the time
   * @param request the question; asked again, it gets the same decision
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
    if (other != null && other.waiting().request().attempt() > request.attempt()) {
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
   * Takes note of a load report.
   *
   * @param now the time
   * @param load the report
   * @return what is to be done
   */
  public List<ScheduleAction> applyLoad(long now, EndpointLoad load) {
    EndpointTracker track = endpoints.get(load.endpoint());
    if (track == null) {
      return List.of();
    }
    track.applyReport(now, load);
    List<ScheduleAction> actions =
        new ArrayList<>(
            orphanDetector.findOrphans(
                now, load.endpoint(), load.held(), request -> registry.active(request) != null));
    counters.orphansCancelled().inc(actions.size());
    actions.addAll(dispatcher.dispatch(now));
    return actions;
  }

  /**
   * Takes note of how far a placement has come; unknown placements are ignored.
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
    QueuedRequest waiting = queue.get(key);
    if (waiting == null || !progress.stage().isTerminal()) {
      return List.of();
    }
    queue.remove(waiting);
    return List.of(refusals.refuse(now, waiting.request(), RefusalReason.DEADLINE));
  }

  /**
   * Takes note of an entry of an endpoint's cache events; a hint for later placements.
   *
   * @param hint the entry
   */
  public void applyCacheHint(CacheHint hint) {
    if (hint.stored()) {
      prefixes.addStored(hint.endpoint(), List.of(hint.hash()));
    } else {
      prefixes.removeEvicted(hint.endpoint(), List.of(hint.hash()));
    }
  }

  /**
   * Takes over which incarnations live; orphans are judged once each of them has sent new claims.
   *
   * @param living all living incarnations of the failure domains that may use the pool
   */
  public void updateMembers(Set<IncarnationId> living) {
    orphanDetector.updateMembers(living);
  }

  /**
   * Takes over what an incarnation runs; placements of it that it does not claim are ended.
   *
   * @param now the time
   * @param owner the incarnation
   * @param running all requests that it runs
   * @return what is to be done
   */
  public List<ScheduleAction> updateClaims(long now, IncarnationId owner, List<RequestId> running) {
    orphanDetector.updateClaims(now, owner, running);
    long settledBefore = now - policy.orphanGraceMillis();
    List<Placement> lost =
        registry.active(
            placement ->
                placement.waiting().request().owner().equals(owner)
                    && placement.progressMillis() < settledBefore
                    && !running.contains(placement.request()));
    lost.forEach(placement -> tracker.end(now, placement));
    return dispatcher.dispatch(now);
  }

  /**
   * Ends all that an incarnation ran or waited for.
   *
   * @param now the time
   * @param owner the incarnation that has ended
   * @return what is to be done
   */
  public List<ScheduleAction> incarnationEnded(long now, IncarnationId owner) {
    orphanDetector.incarnationEnded(now, owner);
    queue.ownedBy(owner).forEach(queue::remove);
    List<ScheduleAction> actions = new ArrayList<>();
    for (Placement placement : registry.active(placement -> placement.waiting().request().owner().equals(owner))) {
      tracker.end(now, placement);
      if (!orphanDetector.isClaimed(now, placement.request())) {
        addCancellations(placement, actions);
      }
    }
    actions.addAll(dispatcher.dispatch(now));
    return actions;
  }

  /**
   * Ends all placements at an endpoint that has failed and keeps work away from it for a while.
   *
   * @param now the time
   * @param endpoint the endpoint
   * @return what is to be done
   */
  public List<ScheduleAction> endpointFailed(long now, EndpointId endpoint) {
    EndpointTracker track = endpoints.get(endpoint);
    if (track == null) {
      return List.of();
    }
    registry.active(placement -> placement.uses(endpoint))
        .forEach(placement -> tracker.end(now, placement));
    track.recordFailure(now);
    prefixes.removeEndpoint(endpoint);
    return dispatcher.dispatch(now);
  }

  /**
   * Lets time pass; to be called every few tens of milliseconds.
   *
   * @param now the time
   * @return what is to be done
   */
  public List<ScheduleAction> tick(long now) {
    long silentBefore = now - policy.placementTimeoutMillis();
    registry.active(placement -> placement.progressMillis() < silentBefore)
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
      QueuedRequest waiting = queue.get(new AttemptKey(request.request(), attempt));
      if (waiting != null) {
        queue.remove(waiting);
        actions.add(refusals.refuse(now, waiting.request(), RefusalReason.DEADLINE));
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
