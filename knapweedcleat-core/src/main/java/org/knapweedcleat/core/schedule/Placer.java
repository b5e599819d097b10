package org.knapweedcleat.core.schedule;

import io.vavr.control.Either;
import java.util.Comparator;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.PoolSpec;

/** Chooses endpoints: decode memory first, then the prefill slot, then the link. */
final class Placer {

  private static final int EVICTION_SHARE = 2;

  private final SchedulePolicy policy;
  private final EndpointTable endpoints;
  private final CostModel costs;
  private final PrefixIndex prefixes;

  private Placer(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, PrefixIndex prefixes) {
    this.policy = policy;
    this.endpoints = endpoints;
    this.costs = costs;
    this.prefixes = prefixes;
  }

  static Placer of(
      SchedulePolicy policy, EndpointTable endpoints, CostModel costs, PrefixIndex prefixes) {
    return new Placer(policy, endpoints, costs, prefixes);
  }

  /** Finds where a request can run now, or what it has to wait for. */
  Either<Obstacle, PlacementPlan> plan(long now, PoolSpec pool, Waiting waiting) {
    if (pool.kind() == PoolKind.PLAIN) {
      return planPlain(now);
    }
    return chooseDecode(now, waiting).flatMap(decode -> planPrefill(now, pool, waiting, decode));
  }

  /** Returns the fewest prompt tokens that any usable endpoint would have to compute. */
  int leastUncachedTokens(long now, PlacementRequest request) {
    int blocks = 0;
    for (EndpointTrack track : endpoints.usable(now, EndpointRole.PREFILL)) {
      blocks = Math.max(blocks, prefixes.cachedBlocks(track.id(), request.prefixHashes()));
    }
    return costs.uncachedTokens(request, blocks);
  }

  /** Prices a plan as if the answer became as long as it may. */
  double price(PlacementPlan plan, PlacementRequest request) {
    return costs.price(plan.prefillTokens(), request.maxOutputTokens());
  }

  private Either<Obstacle, PlacementPlan> planPlain(long now) {
    return endpoints.usable(now, EndpointRole.PLAIN).stream()
        .filter(track -> track.requests() < policy.plainConcurrency())
        .min(Comparator.comparingInt(EndpointTrack::requests))
        .map(track -> new PlacementPlan(null, track.id(), 0, 0, 0))
        .map(Either::<Obstacle, PlacementPlan>right)
        .orElse(Either.left(Obstacle.MEMORY));
  }

  private Either<Obstacle, EndpointTrack> chooseDecode(long now, Waiting waiting) {
    int gapTarget = waiting.service().tokenGapTargetMillis();
    EndpointTrack best = null;
    boolean anyHasMemory = false;
    for (EndpointTrack track : endpoints.usable(now, EndpointRole.DECODE)) {
      boolean hasMemory = endpoints.freePieces(now, track) >= waiting.pieces();
      anyHasMemory |= hasMemory;
      boolean isEmptier = best == null || track.requests() < best.requests();
      if (hasMemory && isEmptier && keepsGap(track, gapTarget)) {
        best = track;
      }
    }
    if (best == null) {
      return Either.left(anyHasMemory ? Obstacle.TOKEN_GAP : Obstacle.MEMORY);
    }
    return Either.right(best);
  }

  private boolean keepsGap(EndpointTrack track, int gapTargetMillis) {
    int batch = track.requests() + 1;
    return batch == 1 || costs.gap().predict(batch) <= gapTargetMillis;
  }

  private Either<Obstacle, PlacementPlan> planPrefill(
      long now, PoolSpec pool, Waiting waiting, EndpointTrack decode) {
    PrefillChoice best = null;
    for (EndpointTrack track : endpoints.usable(now, EndpointRole.PREFILL)) {
      if (track.backlogMillis(now) <= policy.prefillAheadMillis()) {
        PrefillChoice choice = choice(now, waiting.request(), track);
        best = best == null || choice.finishMillis() < best.finishMillis() ? choice : best;
      }
    }
    if (best == null) {
      return Either.left(Obstacle.PREFILL);
    }
    return Either.right(
        new PlacementPlan(
            best.track().id(),
            decode.id(),
            best.cachedBlocks(),
            best.tokens(),
            prefillDelayMillis(now, pool, best)));
  }

  private PrefillChoice choice(long now, PlacementRequest request, EndpointTrack track) {
    int blocks = prefixes.cachedBlocks(track.id(), request.prefixHashes());
    int tokens = costs.uncachedTokens(request, blocks);
    double computeMillis = tokens / track.prefillMeter().tokensPerMilli();
    return new PrefillChoice(track, blocks, tokens, track.backlogMillis(now) + computeMillis);
  }

  /** Delays prefill when its result would wait for the link for much of its short life. */
  private long prefillDelayMillis(long now, PoolSpec pool, PrefillChoice choice) {
    double linkMillis = costs.linkBacklogMillis(now);
    double allowedMillis = (double) pool.evictionMillis() / EVICTION_SHARE;
    return Math.max(0, Math.round(linkMillis - choice.finishMillis() - allowedMillis));
  }

  /** What a request has to wait for. */
  enum Obstacle {
    /** No endpoint has the memory. */
    MEMORY,
    /** Another request in any batch would break the target for the time between tokens. */
    TOKEN_GAP,
    /** All prefill endpoints have enough to do. */
    PREFILL
  }

  private record PrefillChoice(
      EndpointTrack track, int cachedBlocks, int tokens, double finishMillis) {}
}
