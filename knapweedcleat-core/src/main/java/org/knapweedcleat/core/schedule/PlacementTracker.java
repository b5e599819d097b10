package org.knapweedcleat.core.schedule;

import java.util.Objects;
import org.knapweedcleat.core.schedule.ScheduleAction.Decide;

/** Follows placements through their stages, frees what they held, and learns from their times. */
final class PlacementTracker {

  private static final long REFUSED_MEMORY_BLOCK_MILLIS = 200;

  private final EndpointTable endpoints;
  private final CostModel costs;
  private final PrefixIndex prefixes;
  private final FairQueue queue;
  private final PlacementBook book;
  private final SchedulerCounters counters;

  private PlacementTracker(
      EndpointTable endpoints,
      CostModel costs,
      PrefixIndex prefixes,
      FairQueue queue,
      PlacementBook book,
      SchedulerCounters counters) {
    this.endpoints = endpoints;
    this.costs = costs;
    this.prefixes = prefixes;
    this.queue = queue;
    this.book = book;
    this.counters = counters;
  }

  static PlacementTracker of(
      EndpointTable endpoints,
      CostModel costs,
      PrefixIndex prefixes,
      FairQueue queue,
      PlacementBook book,
      SchedulerCounters counters) {
    return new PlacementTracker(endpoints, costs, prefixes, queue, book, counters);
  }

  /** Counts a new placement at its endpoints and returns the decision that makes it known. */
  Decide open(long now, Waiting waiting, PlacementPlan plan) {
    PlacementRequest request = waiting.request();
    double charged = costs.price(plan.prefillTokens(), request.maxOutputTokens());
    book.open(Placement.of(waiting, plan, charged, now));
    endpoints.get(plan.runner()).place(request.request(), waiting.pieces());
    if (plan.prefill() != null) {
      endpoints.get(plan.prefill()).queuePrefill(request.request(), plan.prefillTokens());
      costs.expectTransfer(request.promptTokens());
    }
    counters.placed().inc();
    return book.remember(now, new Decide(request.owner(), plan.decide(request)));
  }

  /** Takes note of a stage. */
  void progress(long now, Placement placement, PlacementProgress progress) {
    if (!placement.reach(now, progress.stage())) {
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

  /** Ends a placement and frees all that it held. */
  void close(long now, Placement placement) {
    book.close(placement);
    EndpointTrack runner = endpoints.get(placement.runner());
    if (runner != null) {
      runner.release(now, placement.request());
      if (isRunning(placement)) {
        runner.running(now, -1);
      }
    }
    if (placement.prefill() != null) {
      closeSplit(now, placement);
    }
  }

  private void closeSplit(long now, Placement placement) {
    EndpointTrack prefill = endpoints.get(placement.prefill());
    if (prefill != null) {
      prefill.endPrefill(now, placement.request());
      if (placement.hasSeen(PlacementStage.PREFILL_STARTED)
          && !placement.hasSeen(PlacementStage.PREFILLED)) {
        prefill.prefillMeter().abandoned(now);
      }
    }
    if (!placement.hasSeen(PlacementStage.IMPORTED)) {
      costs.endTransfer(placement.waiting().request().promptTokens());
      if (placement.hasSeen(PlacementStage.PREFILLED)) {
        costs.link().abandoned(now);
      }
    }
    if (!placement.hasSeen(PlacementStage.FIRST_TOKEN)) {
      counters.wastedPrefillTokens().inc(placement.computedPrefillTokens());
    }
  }

  private void prefillStarted(long now, Placement placement) {
    EndpointTrack prefill = endpoints.get(placement.prefill());
    if (prefill != null) {
      prefill.prefillMeter().started(now);
    }
  }

  private void prefilled(long now, Placement placement, int computedTokens) {
    placement.prefilled(computedTokens);
    counters.computedPrefillTokens().inc(computedTokens);
    EndpointTrack prefill = endpoints.get(placement.prefill());
    if (prefill == null) {
      return;
    }
    prefill.prefillMeter().completed(now, computedTokens);
    prefill.endPrefill(now, placement.request());
    prefill.succeeded();
    costs.link().started(now);
    learnCache(placement, prefill, computedTokens);
  }

  private void learnCache(Placement placement, EndpointTrack prefill, int computedTokens) {
    PlacementRequest request = placement.waiting().request();
    int cachedTokens = request.promptTokens() - computedTokens;
    if (placement.cachedBlocks() > 0 && cachedTokens > 0) {
      costs.blockTokens().observe((double) cachedTokens / placement.cachedBlocks());
    }
    prefixes.stored(prefill.id(), request.prefixHashes());
  }

  private void imported(long now, Placement placement) {
    int promptTokens = placement.waiting().request().promptTokens();
    costs.endTransfer(promptTokens);
    costs.link().completed(now, promptTokens);
    EndpointTrack runner = endpoints.get(placement.runner());
    if (runner != null) {
      runner.running(now, 1);
    }
  }

  private void firstToken(long now, Placement placement) {
    EndpointTrack runner = endpoints.get(placement.runner());
    if (runner != null) {
      placement.firstToken(now, runner.batchMillis(now));
    }
    Waiting waiting = placement.waiting();
    if (waiting.isUrgent()) {
      costs
          .margin(waiting.service().id())
          .observe(waiting.estimateMillis(), now - waiting.submittedMillis());
    }
  }

  private void finished(long now, Placement placement, int outputTokens) {
    Waiting waiting = placement.waiting();
    EndpointTrack runner = endpoints.get(placement.runner());
    if (runner != null) {
      runner.succeeded();
    }
    if (placement.prefill() == null) {
      costs.plainMillis().observe(now - placement.decidedMillis());
    } else {
      costs.observeHold(waiting.service().id(), now - placement.decidedMillis());
      learnGap(now, placement, runner, outputTokens);
    }
    double used = costs.price(placement.computedPrefillTokens(), outputTokens);
    queue.charge(waiting.account(), used - placement.chargedTokens());
    close(now, placement);
  }

  private void learnGap(long now, Placement placement, EndpointTrack runner, int outputTokens) {
    long millis = now - placement.firstTokenMillis();
    if (runner == null
        || outputTokens < 2
        || millis <= 0
        || !placement.hasSeen(PlacementStage.FIRST_TOKEN)) {
      return;
    }
    double batch = (runner.batchMillis(now) - placement.batchMillisAtFirstToken()) / millis;
    costs.gap().observe(batch, (double) millis / (outputTokens - 1));
  }

  private void failed(long now, Placement placement, PlacementStage stage) {
    EndpointTrack runner = endpoints.get(placement.runner());
    EndpointTrack prefill = endpoints.get(placement.prefill());
    if (stage == PlacementStage.RESERVATION_REFUSED && runner != null) {
      runner.block(now + REFUSED_MEMORY_BLOCK_MILLIS);
      runner.distrustReleases();
    }
    if (stage == PlacementStage.PREFILL_FAILED && prefill != null) {
      prefill.failed(now);
    }
    if (stage == PlacementStage.ENDPOINT_FAILED && runner != null) {
      runner.failed(now);
    }
    double used = costs.price(placement.computedPrefillTokens(), 0);
    queue.charge(placement.waiting().account(), used - placement.chargedTokens());
    close(now, placement);
  }

  private static boolean isRunning(Placement placement) {
    return Objects.nonNull(placement.prefill()) && placement.hasSeen(PlacementStage.IMPORTED);
  }
}
