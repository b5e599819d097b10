package org.knapweedcleat.bench;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.schedule.PoolScheduler;
import org.knapweedcleat.core.schedule.ScheduleAction;
import org.knapweedcleat.core.schedule.SchedulePolicy;

/** Keeps a scheduler under a steady load to measure the cost of its decisions. */
final class SchedulerLoadGenerator {

  private static final int PROMPT_TOKENS = 2_500;
  private static final int OUTPUT_TOKENS = 300;
  private static final int MAX_REQUESTS_PER_ENGINE = 20;
  private static final int PIECES_PER_REQUEST = 3;
  private static final long DEADLINE_MILLIS = 60_000;
  private static final List<PlacementStage> STAGES =
      List.of(
          PlacementStage.RESERVED,
          PlacementStage.PREFILL_STARTED,
          PlacementStage.PREFILLED,
          PlacementStage.IMPORTED,
          PlacementStage.FIRST_TOKEN,
          PlacementStage.FINISHED);

  private final PoolScheduler scheduler;
  private final List<EndpointSpec> endpoints;
  private final ServiceSpec service;
  private final int accountCount;
  private final Deque<PlacementDecision.Split> activePlacements = new ArrayDeque<>();
  private long nowMillis;
  private long sequenceNumber;

  private SchedulerLoadGenerator(FleetDocument document, PoolId pool, int accountCount) {
    FailureDomainId domain = document.endpoints().values().iterator().next().domain();
    InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
    this.scheduler = PoolScheduler.of(pool, domain, SchedulePolicy.defaults(), monitor);
    this.endpoints = document.endpoints(pool, domain);
    this.service = document.services().values().iterator().next();
    this.accountCount = accountCount;
    scheduler.configure(0, document);
    nowMillis = SchedulePolicy.defaults().warmUpMillis();
    endpoints.forEach(endpoint -> scheduler.applyLoad(nowMillis, load(endpoint, List.of())));
  }

  /** Returns a load on a pool in which a third of the endpoints are prefill endpoints. */
  static SchedulerLoadGenerator of(int endpointCount, int accountCount) {
    BenchmarkFleet fleet = BenchmarkFleet.ofSize(endpointCount, accountCount);
    return new SchedulerLoadGenerator(fleet.document(), fleet.pool(), accountCount);
  }

  PoolScheduler scheduler() {
    return scheduler;
  }

  /** Submits requests until the given number is queued. */
  void fillUntilQueued(int queueLength) {
    while (scheduler.queuedRequests() < queueLength) {
      submit();
      completeLastPrefill();
    }
  }

  /** Submits requests until the given fraction of the memory is in use. */
  void fillMemory(double fraction) {
    long decodeEngineCount =
        endpoints.stream().filter(endpoint -> endpoint.role() == EndpointRole.DECODE).count();
    while (activePlacements.size() < fraction * decodeEngineCount * MAX_REQUESTS_PER_ENGINE) {
      submit();
      completeLastPrefill();
    }
  }

  /** Completes the oldest request and submits a new one. */
  void replaceOldestRequest() {
    nowMillis += 1;
    PlacementDecision.Split oldest = activePlacements.poll();
    for (PlacementStage stage : STAGES) {
      progress(oldest, stage);
    }
    submit();
  }

  /** Reports the load of the next endpoint. */
  void reportNextLoad() {
    EndpointSpec endpoint = endpoints.get((int) (sequenceNumber++ % endpoints.size()));
    List<RequestId> held = new ArrayList<>();
    for (PlacementDecision.Split split : activePlacements) {
      if (split.decode().equals(endpoint.id()) && held.size() < MAX_REQUESTS_PER_ENGINE) {
        held.add(split.request());
      }
    }
    recordPlacements(scheduler.applyLoad(nowMillis, load(endpoint, held)));
  }

  private void submit() {
    sequenceNumber++;
    PlacementRequest request =
        new PlacementRequest(
            RequestId.of("r" + sequenceNumber),
            1,
            IncarnationId.of(InstanceId.of("i"), 1),
            service.id(),
            AccountId.of("account-" + sequenceNumber % accountCount),
            true,
            PROMPT_TOKENS,
            OUTPUT_TOKENS,
            List.of(sequenceNumber % accountCount, sequenceNumber),
            DEADLINE_MILLIS);
    recordPlacements(scheduler.submit(nowMillis, request));
  }

  private void completeLastPrefill() {
    if (!activePlacements.isEmpty()) {
      progress(activePlacements.getLast(), PlacementStage.PREFILLED);
    }
  }

  private void progress(PlacementDecision.Split split, PlacementStage stage) {
    int tokens =
        switch (stage) {
          case PREFILLED -> PROMPT_TOKENS;
          case FINISHED -> OUTPUT_TOKENS;
          default -> 0;
        };
    recordPlacements(
        scheduler.progress(nowMillis, new PlacementProgress(split.request(), 1, stage, tokens)));
  }

  private void recordPlacements(List<ScheduleAction> actions) {
    for (ScheduleAction action : actions) {
      if (action instanceof ScheduleAction.SendDecision decide
          && decide.decision() instanceof PlacementDecision.Split split) {
        activePlacements.add(split);
      }
    }
  }

  private static EndpointLoad load(EndpointSpec endpoint, List<RequestId> held) {
    int usedPieces = held.size() * PIECES_PER_REQUEST;
    return new EndpointLoad(
        endpoint.id(), usedPieces, endpoint.memoryPieces(), 0, held.size(), held);
  }
}
