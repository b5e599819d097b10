package org.knapweedcleat.core.schedule;

import io.vavr.control.Either;
import java.util.Comparator;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.PoolSpec;

/** Selects endpoints: decode memory first, then prefill capacity, then transfer time. */
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

  /** Returns a plan for a request, or the reason why it cannot be placed now. */
  Either<BlockingReason, PlacementPlan> plan(long now, PoolSpec pool, QueuedRequest queued) {
    if (pool.kind() == PoolKind.PLAIN) {
      return planPlain(now);
    }
    return chooseDecode(now, queued).flatMap(decode -> planPrefill(now, pool, queued, decode));
  }

  /** Returns the minimum number of prompt tokens that a usable endpoint would have to compute. */
  int minUncachedTokens(long now, PlacementRequest request) {
    int blocks = 0;
    for (EndpointTracker endpoint : endpoints.usable(now, EndpointRole.PREFILL)) {
      blocks = Math.max(blocks, prefixes.cachedBlocks(endpoint.id(), request.prefixHashes()));
    }
    return costs.uncachedTokens(request, blocks);
  }

  /** Prices a plan, assuming the maximum number of output tokens. */
  double price(PlacementPlan plan, PlacementRequest request) {
    return costs.price(plan.prefillTokens(), request.maxOutputTokens());
  }

  private Either<BlockingReason, PlacementPlan> planPlain(long now) {
    return endpoints.usable(now, EndpointRole.PLAIN).stream()
        .filter(endpoint -> endpoint.requests() < policy.plainConcurrency())
        .min(Comparator.comparingInt(EndpointTracker::requests))
        .map(endpoint -> new PlacementPlan(null, endpoint.id(), 0, 0, 0))
        .map(Either::<BlockingReason, PlacementPlan>right)
        .orElse(Either.left(BlockingReason.MEMORY));
  }

  private Either<BlockingReason, EndpointTracker> chooseDecode(long now, QueuedRequest queued) {
    int gapTarget = queued.service().tokenGapTargetMillis();
    EndpointTracker best = null;
    boolean anyHasMemory = false;
    for (EndpointTracker endpoint : endpoints.usable(now, EndpointRole.DECODE)) {
      boolean hasMemory = endpoints.freePieces(now, endpoint) >= queued.pieces();
      anyHasMemory |= hasMemory;
      boolean isEmptier = best == null || endpoint.requests() < best.requests();
      if (hasMemory && isEmptier && meetsTokenGap(endpoint, gapTarget)) {
        best = endpoint;
      }
    }
    if (best == null) {
      return Either.left(anyHasMemory ? BlockingReason.TOKEN_GAP : BlockingReason.MEMORY);
    }
    return Either.right(best);
  }

  private boolean meetsTokenGap(EndpointTracker endpoint, int gapTargetMillis) {
    int batch = endpoint.requests() + 1;
    return batch == 1 || costs.tokenGap().predict(batch) <= gapTargetMillis;
  }

  private Either<BlockingReason, PlacementPlan> planPrefill(
      long now, PoolSpec pool, QueuedRequest queued, EndpointTracker decode) {
    PrefillChoice best = null;
    for (EndpointTracker endpoint : endpoints.usable(now, EndpointRole.PREFILL)) {
      if (endpoint.backlogMillis(now) <= policy.maxPrefillBacklogMillis()) {
        PrefillChoice choice = prefillChoice(now, queued.request(), endpoint);
        best = best == null || choice.finishMillis() < best.finishMillis() ? choice : best;
      }
    }
    if (best == null) {
      return Either.left(BlockingReason.PREFILL);
    }
    return Either.right(
        new PlacementPlan(
            best.endpoint().id(),
            decode.id(),
            best.cachedBlocks(),
            best.tokens(),
            prefillDelayMillis(now, pool, best)));
  }

  private PrefillChoice prefillChoice(
      long now, PlacementRequest request, EndpointTracker endpoint) {
    int blocks = prefixes.cachedBlocks(endpoint.id(), request.prefixHashes());
    int tokens = costs.uncachedTokens(request, blocks);
    double computeMillis = tokens / endpoint.prefillThroughput().tokensPerMilli();
    return new PrefillChoice(endpoint, blocks, tokens, endpoint.backlogMillis(now) + computeMillis);
  }

  /** Delays prefill if its result would wait too long for transfer and might be evicted. */
  private long prefillDelayMillis(long now, PoolSpec pool, PrefillChoice choice) {
    double transferBacklogMillis = costs.transferBacklogMillis(now);
    double allowedMillis = (double) pool.evictionMillis() / EVICTION_TIME_DIVISOR;
    return Math.max(0, Math.round(transferBacklogMillis - choice.finishMillis() - allowedMillis));
  }

  /** Why a request cannot be placed now. */
  enum BlockingReason {
    /** No endpoint has enough free memory. */
    MEMORY,
    /** A larger batch would exceed the target for the time between tokens at every endpoint. */
    TOKEN_GAP,
    /** The backlog of every prefill endpoint exceeds its limit. */
    PREFILL
  }

  private record PrefillChoice(
      EndpointTracker endpoint, int cachedBlocks, int tokens, double finishMillis) {}
}
