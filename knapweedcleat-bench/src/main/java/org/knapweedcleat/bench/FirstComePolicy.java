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
 * Baseline: one queue for each failure domain, first come first served, nothing refused; it counts
 * its own placements exactly and takes the emptiest engines.
 */
final class FirstComePolicy implements Policy {

  private static final int PREFILLS_AHEAD = 2;
  private static final int TOKENS_PER_PIECE = 1_000;

  private final BenchFleet fleet;
  private final Map<FailureDomainId, Deque<PlacementRequest>> queues =
      new TreeMap<>((one, other) -> one.value().compareTo(other.value()));
  private final Map<EndpointId, Integer> used = new HashMap<>();
  private final Set<EndpointId> failed = new HashSet<>();
  private final Map<RequestId, Placed> placed = new HashMap<>();

  private FirstComePolicy(BenchFleet fleet) {
    this.fleet = fleet;
  }

  static FirstComePolicy of(BenchFleet fleet) {
    return new FirstComePolicy(fleet);
  }

  @Override
  public List<ScheduleAction> submit(long now, FailureDomainId domain, PlacementRequest request) {
    queues.computeIfAbsent(domain, key -> new ArrayDeque<>()).add(request);
    return dispatch(domain);
  }

  @Override
  public List<ScheduleAction> progress(
      long now, FailureDomainId domain, IncarnationId owner, PlacementProgress progress) {
    Placed place = placed.get(progress.request());
    if (place == null || place.attempt() != progress.attempt()) {
      queues
          .getOrDefault(domain, new ArrayDeque<>())
          .removeIf(request -> request.request().equals(progress.request()));
      return List.of();
    }
    if (progress.stage() == PlacementStage.ENDPOINT_FAILED) {
      failed.add(place.decode());
    }
    boolean over = progress.stage().isTerminal();
    if (place.prefilling() && (over || progress.stage() == PlacementStage.PREFILLED)) {
      used.merge(place.prefill(), -1, Integer::sum);
      placed.put(progress.request(), place.prefilled());
    }
    if (over) {
      used.merge(place.decode(), -place.pieces(), Integer::sum);
      placed.remove(progress.request());
    }
    return dispatch(domain);
  }

  @Override
  public List<ScheduleAction> report(long now, EndpointLoad load) {
    return List.of();
  }

  @Override
  public List<ScheduleAction> tick(long now) {
    return List.of();
  }

  private List<ScheduleAction> dispatch(FailureDomainId domain) {
    List<ScheduleAction> actions = new ArrayList<>();
    Deque<PlacementRequest> queue = queues.getOrDefault(domain, new ArrayDeque<>());
    while (!queue.isEmpty()) {
      PlacementRequest request = queue.peek();
      int pieces = pieces(request);
      EndpointSpec decode = emptiest(domain, EndpointRole.DECODE);
      EndpointSpec prefill = emptiest(domain, EndpointRole.PREFILL);
      if (decode == null
          || prefill == null
          || used(decode) + pieces > decode.memoryPieces()
          || used(prefill) >= PREFILLS_AHEAD) {
        return actions;
      }
      queue.poll();
      actions.add(place(request, pieces, prefill.id(), decode.id()));
    }
    return actions;
  }

  private SendDecision place(
      PlacementRequest request, int pieces, EndpointId prefill, EndpointId decode) {
    used.merge(prefill, 1, Integer::sum);
    used.merge(decode, pieces, Integer::sum);
    placed.put(request.request(), new Placed(request.attempt(), pieces, prefill, decode, true));
    return new SendDecision(
        request.owner(), new Split(request.request(), request.attempt(), prefill, decode, 0));
  }

  private EndpointSpec emptiest(FailureDomainId domain, EndpointRole role) {
    return fleet.endpoints(role).stream()
        .filter(spec -> spec.domain().equals(domain) && !failed.contains(spec.id()))
        .min((one, other) -> Integer.compare(used(one), used(other)))
        .orElse(null);
  }

  private int used(EndpointSpec spec) {
    return used.getOrDefault(spec.id(), 0);
  }

  private static int pieces(PlacementRequest request) {
    int tokens = request.promptTokens() + request.maxOutputTokens();
    return (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
  }

  private record Placed(
      int attempt, int pieces, EndpointId prefill, EndpointId decode, boolean prefilling) {

    Placed prefilled() {
      return new Placed(attempt, pieces, prefill, decode, false);
    }
  }
}
