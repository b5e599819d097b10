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

/** A scheduler under a steady load, for measuring what its decisions cost. */
final class SchedulerLoad {

  private static final int PROMPT_TOKENS = 2_500;
  private static final int OUTPUT_TOKENS = 300;
  private static final int HELD_REQUESTS = 20;
  private static final int PIECES = 3;
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
  private final int accounts;
  private final Deque<PlacementDecision.Split> live = new ArrayDeque<>();
  private long now;
  private long number;

  private SchedulerLoad(FleetDocument document, PoolId pool, int accounts) {
    FailureDomainId domain = document.endpoints().values().iterator().next().domain();
    InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
    this.scheduler = PoolScheduler.of(pool, domain, SchedulePolicy.defaults(), monitor);
    this.endpoints = document.endpoints(pool, domain);
    this.service = document.services().values().iterator().next();
    this.accounts = accounts;
    scheduler.configure(0, document);
    now = SchedulePolicy.defaults().warmUpMillis();
    endpoints.forEach(endpoint -> scheduler.applyLoad(now, load(endpoint, List.of())));
  }

  /** Returns a scheduler of a pool of which a third are prefill endpoints. */
  static SchedulerLoad of(int endpoints, int accounts) {
    BenchFleet fleet = BenchFleet.ofSize(endpoints, accounts);
    return new SchedulerLoad(fleet.document(), fleet.pool(), accounts);
  }

  PoolScheduler scheduler() {
    return scheduler;
  }

  /** Submits requests until the given number waits for memory. */
  void fillUntilWaiting(int waiting) {
    while (scheduler.queuedRequests() < waiting) {
      submit();
      readLastPrompt();
    }
  }

  /** Submits requests until the given part of the memory is in use. */
  void fillMemory(double part) {
    long decodes =
        endpoints.stream().filter(endpoint -> endpoint.role() == EndpointRole.DECODE).count();
    while (live.size() < part * decodes * HELD_REQUESTS) {
      submit();
      readLastPrompt();
    }
  }

  /** Takes one request through the scheduler: one ends and one more is submitted. */
  void turn() {
    now += 1;
    PlacementDecision.Split oldest = live.poll();
    for (PlacementStage stage : STAGES) {
      progress(oldest, stage);
    }
    submit();
  }

  /** Takes in the load report of one endpoint. */
  void report() {
    EndpointSpec endpoint = endpoints.get((int) (number++ % endpoints.size()));
    List<RequestId> held = new ArrayList<>();
    for (PlacementDecision.Split split : live) {
      if (split.decode().equals(endpoint.id()) && held.size() < HELD_REQUESTS) {
        held.add(split.request());
      }
    }
    take(scheduler.applyLoad(now, load(endpoint, held)));
  }

  private void submit() {
    number++;
    PlacementRequest request =
        new PlacementRequest(
            RequestId.of("r" + number),
            1,
            IncarnationId.of(InstanceId.of("i"), 1),
            service.id(),
            AccountId.of("account-" + number % accounts),
            true,
            PROMPT_TOKENS,
            OUTPUT_TOKENS,
            List.of(number % accounts, number),
            DEADLINE_MILLIS);
    take(scheduler.submit(now, request));
  }

  private void readLastPrompt() {
    if (!live.isEmpty()) {
      progress(live.getLast(), PlacementStage.PREFILLED);
    }
  }

  private void progress(PlacementDecision.Split split, PlacementStage stage) {
    int tokens =
        switch (stage) {
          case PREFILLED -> PROMPT_TOKENS;
          case FINISHED -> OUTPUT_TOKENS;
          default -> 0;
        };
    take(scheduler.progress(now, new PlacementProgress(split.request(), 1, stage, tokens)));
  }

  private void take(List<ScheduleAction> actions) {
    for (ScheduleAction action : actions) {
      if (action instanceof ScheduleAction.SendDecision decide
          && decide.decision() instanceof PlacementDecision.Split split) {
        live.add(split);
      }
    }
  }

  private static EndpointLoad load(EndpointSpec endpoint, List<RequestId> held) {
    int used = held.size() * PIECES;
    return new EndpointLoad(endpoint.id(), used, endpoint.memoryPieces(), 0, held.size(), held);
  }
}
