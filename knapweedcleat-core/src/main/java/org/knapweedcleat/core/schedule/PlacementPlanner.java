package org.knapweedcleat.core.schedule;

import io.vavr.control.Either;
import java.util.Comparator;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.PoolSpec;

/** Chooses endpoints: decode memory first, then the prefill slot, then the link. */
final class PlacementPlanner {

  private static final int EVICTION_TIME_DIVISOR = 2;

  private final SchedulePolicy policy;
  private final EndpointTable endpoints;
  private final CostModel costs;
  private final PrefixIndex prefixes;

  private PlacementPlanner(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, PrefixIndex prefixes) {
    this.policy = policy;
    this.endpoints = endpoints;
    this.costs = costs;
    this.prefixes = prefixes;
  }

  static PlacementPlanner of(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, PrefixIndex prefixes) {
    return new PlacementPlanner(policy, endpoints, costs, prefixes);
  }

  /** Finds where a request can run now, or what it has to wait for. */
  Either<BlockingReason, PlacementPlan> plan(long now, PoolSpec pool, QueuedRequest waiting) {
    if (pool.kind() == PoolKind.PLAIN) {
      return planPlain(now);
    }
    return chooseDecode(now, waiting).flatMap(decode -> planPrefill(now, pool, waiting, decode));
  }

  /** Returns the fewest prompt tokens that any usable endpoint would have to compute. */
  int minUncachedTokens(long now, PlacementRequest request) {
    int blocks = 0;
    for (EndpointTracker track : endpoints.usable(now, EndpointRole.PREFILL)) {
      blocks = Math.max(blocks, prefixes.cachedBlocks(track.id(), request.prefixHashes()));
    }
    return costs.uncachedTokens(request, blocks);
  }

  /** Prices a plan as if the answer became as long as it may. */
  double price(PlacementPlan plan, PlacementRequest request) {
    return costs.price(plan.prefillTokens(), request.maxOutputTokens());
  }

  private Either<BlockingReason, PlacementPlan> planPlain(long now) {
    return endpoints.usable(now, EndpointRole.PLAIN).stream()
        .filter(track -> track.requests() < policy.plainConcurrency())
        .min(Comparator.comparingInt(EndpointTracker::requests))
        .map(track -> new PlacementPlan(null, track.id(), 0, 0, 0))
        .map(Either::<BlockingReason, PlacementPlan>right)
        .orElse(Either.left(BlockingReason.MEMORY));
  }

  private Either<BlockingReason, EndpointTracker> chooseDecode(long now, QueuedRequest waiting) {
    int gapTarget = waiting.service().tokenGapTargetMillis();
    EndpointTracker best = null;
    boolean anyHasMemory = false;
    for (EndpointTracker track : endpoints.usable(now, EndpointRole.DECODE)) {
      boolean hasMemory = endpoints.freePieces(now, track) >= waiting.pieces();
      anyHasMemory |= hasMemory;
      boolean isEmptier = best == null || track.requests() < best.requests();
      if (hasMemory && isEmptier && meetsTokenGap(track, gapTarget)) {
        best = track;
      }
    }
    if (best == null) {
      return Either.left(anyHasMemory ? BlockingReason.TOKEN_GAP : BlockingReason.MEMORY);
    }
    return Either.right(best);
  }

  private boolean meetsTokenGap(EndpointTracker track, int gapTargetMillis) {
    int batch = track.requests() + 1;
    return batch == 1 || costs.tokenGap().predict(batch) <= gapTargetMillis;
  }

  private Either<BlockingReason, PlacementPlan> planPrefill(
      long now, PoolSpec pool, QueuedRequest waiting, EndpointTracker decode) {
    PrefillChoice best = null;
    for (EndpointTracker track : endpoints.usable(now, EndpointRole.PREFILL)) {
      if (track.backlogMillis(now) <= policy.maxPrefillBacklogMillis()) {
        PrefillChoice choice = prefillChoice(now, waiting.request(), track);
        best = best == null || choice.finishMillis() < best.finishMillis() ? choice : best;
      }
    }
    if (best == null) {
      return Either.left(BlockingReason.PREFILL);
    }
    return Either.right(
        new PlacementPlan(
            best.track().id(),
            decode.id(),
            best.cachedBlocks(),
            best.tokens(),
            prefillDelayMillis(now, pool, best)));
  }

  private PrefillChoice prefillChoice(long now, PlacementRequest request, EndpointTracker track) {
    int blocks = prefixes.cachedBlocks(track.id(), request.prefixHashes());
    int tokens = costs.uncachedTokens(request, blocks);
    double computeMillis = tokens / track.prefillThroughput().tokensPerMilli();
    return new PrefillChoice(track, blocks, tokens, track.backlogMillis(now) + computeMillis);
  }

  /** Delays prefill when its result would wait for the link for much of its short life. */
  private long prefillDelayMillis(long now, PoolSpec pool, PrefillChoice choice) {
    double transferBacklogMillis = costs.transferBacklogMillis(now);
    double allowedMillis = (double) pool.evictionMillis() / EVICTION_TIME_DIVISOR;
    return Math.max(0, Math.round(transferBacklogMillis - choice.finishMillis() - allowedMillis));
  }

  /** What a request has to wait for. */
  enum BlockingReason {
    /** No endpoint has the memory. */
    MEMORY,
    /** Another request in any batch would break the target for the time between tokens. */
    TOKEN_GAP,
    /** All prefill endpoints have enough to do. */
    PREFILL
  }

  private record PrefillChoice(
      EndpointTracker track, int cachedBlocks, int tokens, double finishMillis) {}
}
