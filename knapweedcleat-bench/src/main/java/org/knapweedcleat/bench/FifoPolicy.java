package org.knapweedcleat.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.PlacementDecision.Split;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.schedule.ScheduleAction;
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/**
 * Baseline: one unbounded FIFO queue for each failure domain. Requests are placed on the least
 * occupied engines, according to the policy's own exact count of its placements.
 */
final class FifoPolicy implements PlacementPolicy {

  private static final int MAX_PENDING_PREFILLS = 2;
  private static final int TOKENS_PER_PIECE = 1_000;

  private final BenchmarkFleet fleet;
  private final Map<FailureDomainId, Deque<PlacementRequest>> queues =
      new TreeMap<>((one, other) -> one.value().compareTo(other.value()));
  private final Map<EndpointId, Integer> occupancy = new HashMap<>();
  private final Set<EndpointId> failedEngines = new HashSet<>();
  private final Map<RequestId, Placement> placements = new HashMap<>();

  private FifoPolicy(BenchmarkFleet fleet) {
    this.fleet = fleet;
  }

  static FifoPolicy of(BenchmarkFleet fleet) {
    return new FifoPolicy(fleet);
  }

  @Override
  public List<ScheduleAction> submit(
      long nowMillis, FailureDomainId domain, PlacementRequest request) {
    queues.computeIfAbsent(domain, key -> new ArrayDeque<>()).add(request);
    return dispatch(domain);
  }

  @Override
  public List<ScheduleAction> progress(
      long nowMillis, FailureDomainId domain, IncarnationId owner, PlacementProgress progress) {
    Placement placement = placements.get(progress.request());
    if (placement == null || placement.attempt() != progress.attempt()) {
      queues
          .getOrDefault(domain, new ArrayDeque<>())
          .removeIf(request -> request.request().equals(progress.request()));
      return List.of();
    }
    if (progress.stage() == PlacementStage.ENDPOINT_FAILED) {
      failedEngines.add(placement.decode());
    }
    boolean isTerminal = progress.stage().isTerminal();
    if (placement.prefilling() && (isTerminal || progress.stage() == PlacementStage.PREFILLED)) {
      occupancy.merge(placement.prefill(), -1, Integer::sum);
      placements.put(progress.request(), placement.afterPrefill());
    }
    if (isTerminal) {
      occupancy.merge(placement.decode(), -placement.pieces(), Integer::sum);
      placements.remove(progress.request());
    }
    return dispatch(domain);
  }

  @Override
  public List<ScheduleAction> applyLoad(long nowMillis, EndpointLoad load) {
    return List.of();
  }

  @Override
  public List<ScheduleAction> tick(long nowMillis) {
    return List.of();
  }

  private List<ScheduleAction> dispatch(FailureDomainId domain) {
    List<ScheduleAction> actions = new ArrayList<>();
    Deque<PlacementRequest> queue = queues.getOrDefault(domain, new ArrayDeque<>());
    while (!queue.isEmpty()) {
      PlacementRequest request = queue.peek();
      int pieces = requiredPieces(request);
      EndpointSpec decode = leastOccupied(domain, EndpointRole.DECODE);
      EndpointSpec prefill = leastOccupied(domain, EndpointRole.PREFILL);
      if (decode == null
          || prefill == null
          || occupancy(decode) + pieces > decode.memoryPieces()
          || occupancy(prefill) >= MAX_PENDING_PREFILLS) {
        return actions;
      }
      queue.poll();
      actions.add(place(request, pieces, prefill.id(), decode.id()));
    }
    return actions;
  }

  private SendDecision place(
      PlacementRequest request, int pieces, EndpointId prefill, EndpointId decode) {
    occupancy.merge(prefill, 1, Integer::sum);
    occupancy.merge(decode, pieces, Integer::sum);
    placements.put(
        request.request(), new Placement(request.attempt(), pieces, prefill, decode, true));
    return new SendDecision(
        request.owner(), new Split(request.request(), request.attempt(), prefill, decode, 0));
  }

  private EndpointSpec leastOccupied(FailureDomainId domain, EndpointRole role) {
    return fleet.endpoints(role).stream()
        .filter(spec -> spec.domain().equals(domain) && !failedEngines.contains(spec.id()))
        .min((one, other) -> Integer.compare(occupancy(one), occupancy(other)))
        .orElse(null);
  }

  private int occupancy(EndpointSpec spec) {
    return occupancy.getOrDefault(spec.id(), 0);
  }

  private static int requiredPieces(PlacementRequest request) {
    int tokens = request.promptTokens() + request.maxOutputTokens();
    return (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
  }

  private record Placement(
      int attempt, int pieces, EndpointId prefill, EndpointId decode, boolean prefilling) {

    Placement afterPrefill() {
      return new Placement(attempt, pieces, prefill, decode, false);
    }
  }
}
