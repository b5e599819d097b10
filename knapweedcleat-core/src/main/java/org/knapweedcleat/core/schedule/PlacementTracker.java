package org.knapweedcleat.core.schedule;

import java.util.Objects;
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/** Tracks placements through their stages, releases their resources, and updates cost estimates. */
final class PlacementTracker {

  private static final long RESERVATION_REFUSED_BLOCK_MILLIS = 200;

  private final EndpointTable endpoints;
  private final CostModel costs;
  private final PrefixIndex prefixes;
  private final FairQueue queue;
  private final PlacementRegistry registry;
  private final SchedulerCounters counters;

  private PlacementTracker(
      EndpointTable endpoints,
      CostModel costs,
      PrefixIndex prefixes,
      FairQueue queue,
      PlacementRegistry registry,
      SchedulerCounters counters) {
    this.endpoints = endpoints;
    this.costs = costs;
    this.prefixes = prefixes;
    this.queue = queue;
    this.registry = registry;
    this.counters = counters;
  }

  static PlacementTracker of(
      EndpointTable endpoints,
      CostModel costs,
      PrefixIndex prefixes,
      FairQueue queue,
      PlacementRegistry registry,
      SchedulerCounters counters) {
    return new PlacementTracker(endpoints, costs, prefixes, queue, registry, counters);
  }

  /** Starts a placement, accounts for it at its endpoints, and returns its decision. */
  SendDecision start(long now, QueuedRequest queued, PlacementPlan plan) {
    PlacementRequest request = queued.request();
    double charged = costs.price(plan.prefillTokens(), request.maxOutputTokens());
    registry.add(Placement.of(queued, plan, charged, now));
    endpoints.get(plan.runner()).place(request.request(), queued.pieces());
    if (plan.prefill() != null) {
      endpoints.get(plan.prefill()).queuePrefill(request.request(), plan.prefillTokens());
      costs.addPendingTransfer(request.promptTokens());
    }
    counters.placed().inc();
    return registry.recordDecision(now, new SendDecision(request.owner(), plan.decide(request)));
  }

  /** Applies a progress report; a repeated stage is ignored. */
  void progress(long now, Placement placement, PlacementProgress progress) {
    if (!placement.markReached(now, progress.stage())) {
      return;
    }
    switch (progress.stage()) {
      case RESERVED -> costs.reserveMillis().observe(now - placement.decidedMillis());
      case PREFILL_STARTED -> prefillStarted(now, placement);
      case PREFILLED -> prefilled(now, placement, progress.tokens());
      case IMPORTED -> imported(now, placement);
      case FIRST_TOKEN -> firstToken(now, placement);
      case FINISHED -> finished(now, placement, progress.tokens());
      default -> failed(now, placement, progress.stage());
    }
  }

  /** Ends a placement and releases all its resources. */
  void end(long now, Placement placement) {
    registry.remove(placement);
    EndpointTracker runner = endpoints.get(placement.runner());
    if (runner != null) {
      runner.release(now, placement.request());
      if (isRunning(placement)) {
        runner.changeBatchSize(now, -1);
      }
    }
    if (placement.prefill() != null) {
      endSplit(now, placement);
    }
  }

  private void endSplit(long now, Placement placement) {
    EndpointTracker prefill = endpoints.get(placement.prefill());
    if (prefill != null) {
      prefill.endPrefill(now, placement.request());
      if (placement.hasReached(PlacementStage.PREFILL_STARTED)
          && !placement.hasReached(PlacementStage.PREFILLED)) {
        prefill.prefillThroughput().taskAbandoned(now);
      }
    }
    if (!placement.hasReached(PlacementStage.IMPORTED)) {
      costs.removePendingTransfer(placement.queued().request().promptTokens());
      if (placement.hasReached(PlacementStage.PREFILLED)) {
        costs.transferThroughput().taskAbandoned(now);
      }
    }
    if (!placement.hasReached(PlacementStage.FIRST_TOKEN)) {
      counters.wastedPrefillTokens().inc(placement.computedPrefillTokens());
    }
  }

  private void prefillStarted(long now, Placement placement) {
    EndpointTracker prefill = endpoints.get(placement.prefill());
    if (prefill != null) {
      prefill.prefillThroughput().taskStarted(now);
    }
  }

  private void prefilled(long now, Placement placement, int computedTokens) {
    placement.recordPrefilled(computedTokens);
    counters.computedPrefillTokens().inc(computedTokens);
    EndpointTracker prefill = endpoints.get(placement.prefill());
    if (prefill == null) {
      return;
    }
    prefill.prefillThroughput().taskCompleted(now, computedTokens);
    prefill.endPrefill(now, placement.request());
    prefill.recordSuccess();
    costs.transferThroughput().taskStarted(now);
    updateCacheModel(placement, prefill, computedTokens);
  }

  private void updateCacheModel(Placement placement, EndpointTracker prefill, int computedTokens) {
    PlacementRequest request = placement.queued().request();
    int cachedTokens = request.promptTokens() - computedTokens;
    if (placement.cachedBlocks() > 0 && cachedTokens > 0) {
      costs.blockTokens().observe((double) cachedTokens / placement.cachedBlocks());
    }
    prefixes.addStored(prefill.id(), request.prefixHashes());
  }

  private void imported(long now, Placement placement) {
    int promptTokens = placement.queued().request().promptTokens();
    costs.removePendingTransfer(promptTokens);
    costs.transferThroughput().taskCompleted(now, promptTokens);
    EndpointTracker runner = endpoints.get(placement.runner());
    if (runner != null) {
      runner.changeBatchSize(now, 1);
    }
  }

  private void firstToken(long now, Placement placement) {
    EndpointTracker runner = endpoints.get(placement.runner());
    if (runner != null) {
      placement.recordFirstToken(now, runner.batchMillis(now));
    }
    QueuedRequest queued = placement.queued();
    if (queued.isUrgent()) {
      costs
          .margin(queued.service().id())
          .observe(queued.estimateMillis(), now - queued.submittedMillis());
    }
  }

  private void finished(long now, Placement placement, int outputTokens) {
    QueuedRequest queued = placement.queued();
    EndpointTracker runner = endpoints.get(placement.runner());
    if (runner != null) {
      runner.recordSuccess();
    }
    if (placement.prefill() == null) {
      costs.plainMillis().observe(now - placement.decidedMillis());
    } else {
      costs.observeHoldMillis(queued.service().id(), now - placement.decidedMillis());
      observeTokenGap(now, placement, runner, outputTokens);
    }
    double used = costs.price(placement.computedPrefillTokens(), outputTokens);
    queue.charge(queued.account(), used - placement.chargedTokens());
    end(now, placement);
  }

  private void observeTokenGap(
      long now, Placement placement, EndpointTracker runner, int outputTokens) {
    long millis = now - placement.firstTokenMillis();
    if (runner == null
        || outputTokens < 2
        || millis <= 0
        || !placement.hasReached(PlacementStage.FIRST_TOKEN)) {
      return;
    }
    double batch = (runner.batchMillis(now) - placement.batchMillisAtFirstToken()) / millis;
    costs.tokenGap().observe(batch, (double) millis / (outputTokens - 1));
  }

  private void failed(long now, Placement placement, PlacementStage stage) {
    EndpointTracker runner = endpoints.get(placement.runner());
    EndpointTracker prefill = endpoints.get(placement.prefill());
    if (stage == PlacementStage.RESERVATION_REFUSED && runner != null) {
      runner.block(now + RESERVATION_REFUSED_BLOCK_MILLIS);
      runner.clearReleased();
    }
    if (stage == PlacementStage.PREFILL_FAILED && prefill != null) {
      prefill.recordFailure(now);
    }
    if (stage == PlacementStage.ENDPOINT_FAILED && runner != null) {
      runner.recordFailure(now);
    }
    double used = costs.price(placement.computedPrefillTokens(), 0);
    queue.charge(placement.queued().account(), used - placement.chargedTokens());
    end(now, placement);
  }

  private static boolean isRunning(Placement placement) {
    return Objects.nonNull(placement.prefill()) && placement.hasReached(PlacementStage.IMPORTED);
  }
}
