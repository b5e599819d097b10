package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision.Refused;
import org.knapweedcleat.core.schedule.PlacementDecision.Split;
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/** Checks scheduler invariants with random requests, progress, reports, failures and documents. */
class PoolSchedulerPropertyTest {

  private static final SchedulePolicy POLICY = SchedulePolicy.defaults();
  private static final int STEPS = 600;
  private static final int ENDPOINTS = 3;

  @Property(seed = "5", tries = 60)
  void keepsInvariantsInRandomRuns(@ForAll long seed) {
    Simulation run = new Simulation(seed);
    for (int step = 0; step < STEPS; step++) {
      run.step();
    }
    run.finish();
    assertThat(run.monitor.violationCount(), is(0L));
    assertThat(run.undecided, empty());
  }

  @Property(seed = "6", tries = 20)
  void servesBackloggedAccountsEvenly(@ForAll long seed) {
    Simulation run = new Simulation(seed);
    run.warmUp();
    for (int turn = 0; turn < 30; turn++) {
      run.submit(1);
      run.submit(2);
    }
    run.placedTokens.clear();
    while (run.scheduler.queuedRequests() > 0) {
      run.endOldest(PlacementStage.FINISHED);
      run.assertServedEvenly();
    }
  }

  /** A random simulation that checks invariants after each step. */
  private static final class Simulation {
    private final Random random;
    private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
    private final PoolScheduler scheduler =
        PoolScheduler.of(TestFleet.POOL, TestFleet.DOMAIN, POLICY, monitor);
    private final Map<RequestId, PlacementRequest> requests = new HashMap<>();
    private final Set<RequestId> undecided = new HashSet<>();
    private final Map<RequestId, Split> activePlacements = new LinkedHashMap<>();
    private final Map<AccountId, Double> placedTokens = new HashMap<>();
    private Set<EndpointId> leaving = Set.of();
    private long nowMillis;
    private int requestNumber;

    private Simulation(long seed) {
      random = new Random(seed);
      configure(List.of());
    }

    private void warmUp() {
      nowMillis = POLICY.warmUpMillis();
      for (EndpointId endpoint : document().endpoints().keySet()) {
        scheduler.applyLoad(nowMillis, TestFleet.idle(endpoint));
      }
    }

    private void step() {
      nowMillis += random.nextInt(50);
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> submit(1 + random.nextInt(5));
        case 4, 5 -> progressPlacements();
        case 6 -> endOldest(PlacementStage.FINISHED);
        case 7 -> endOldest(randomFailure());
        case 8 -> reportLoads();
        case 9 -> apply(scheduler.tick(nowMillis));
        case 10 -> maybeFailEndpoint();
        default -> maybeReconfigure();
      }
      assertThat(scheduler.queuedRequests(), lessThanOrEqualTo(TestFleet.NOTES_QUEUE_LIMIT));
    }

    private void finish() {
      nowMillis += 120_000;
      apply(scheduler.tick(nowMillis));
    }

    private void submit(int account) {
      requestNumber++;
      boolean kiosk = random.nextInt(4) == 0;
      PlacementRequest request =
          TestFleet.request(
              requestNumber,
              1,
              account,
              kiosk ? TestFleet.KIOSK : TestFleet.NOTES,
              100 + random.nextInt(4_000),
              kiosk ? 1_000 : 60_000);
      requests.put(request.request(), request);
      undecided.add(request.request());
      apply(scheduler.submit(nowMillis, request));
    }

    private void progressPlacements() {
      for (RequestId request : List.copyOf(activePlacements.keySet())) {
        for (PlacementStage stage : PlacementStage.values()) {
          if (!stage.isTerminal() && random.nextBoolean()) {
            apply(scheduler.progress(nowMillis, new PlacementProgress(request, 1, stage, 100)));
          }
        }
      }
    }

    private void endOldest(PlacementStage stage) {
      if (activePlacements.isEmpty()) {
        apply(scheduler.tick(nowMillis += 100));
        return;
      }
      RequestId request = activePlacements.keySet().iterator().next();
      activePlacements.remove(request);
      int promptTokens = requests.get(request).promptTokens();
      PlacementStage prefilled = PlacementStage.PREFILLED;
      apply(
          scheduler.progress(
              nowMillis, new PlacementProgress(request, 1, prefilled, promptTokens)));
      apply(scheduler.progress(nowMillis, new PlacementProgress(request, 1, stage, 100)));
    }

    private PlacementStage randomFailure() {
      PlacementStage[] failures = {
        PlacementStage.RESERVATION_REFUSED,
        PlacementStage.PREFILL_FAILED,
        PlacementStage.TRANSFER_FAILED,
        PlacementStage.CANCELLED
      };
      return failures[random.nextInt(failures.length)];
    }

    private void reportLoads() {
      EndpointId endpoint = randomDecode();
      List<RequestId> held =
          activePlacements.values().stream()
              .filter(split -> split.decode().equals(endpoint))
              .map(Split::request)
              .toList();
      int used = held.stream().mapToInt(this::pieces).sum();
      apply(scheduler.applyLoad(nowMillis, TestFleet.load(endpoint, used, held)));
      apply(
          scheduler.applyLoad(nowMillis, TestFleet.idle(TestFleet.prefill(1 + random.nextInt(3)))));
    }

    private void maybeFailEndpoint() {
      if (random.nextInt(10) == 0) {
        EndpointId endpoint = randomDecode();
        activePlacements.values().removeIf(split -> split.decode().equals(endpoint));
        apply(scheduler.endpointFailed(nowMillis, endpoint));
      }
    }

    private void maybeReconfigure() {
      if (random.nextInt(10) == 0) {
        configure(random.nextBoolean() ? List.of() : List.of(randomDecode()));
      }
    }

    private void configure(List<EndpointId> nowLeaving) {
      leaving = Set.copyOf(nowLeaving);
      apply(scheduler.configure(nowMillis, document()));
    }

    private FleetDocument document() {
      return TestFleet.document(ENDPOINTS, ENDPOINTS, List.copyOf(leaving));
    }

    private EndpointId randomDecode() {
      return TestFleet.decode(1 + random.nextInt(ENDPOINTS));
    }

    private int pieces(RequestId request) {
      return QueuedRequest.piecesOf(requests.get(request));
    }

    private void apply(List<ScheduleAction> actions) {
      for (ScheduleAction action : actions) {
        if (action instanceof SendDecision decide) {
          applyDecision(decide.decision());
        }
      }
      assertMemoryWithinLimit();
    }

    private void applyDecision(PlacementDecision decision) {
      assertThat("request is decided exactly once", undecided.remove(decision.request()), is(true));
      PlacementRequest request = requests.get(decision.request());
      if (decision instanceof Refused refused) {
        assertThat(refused.retryAfterMillis(), is(not(0L)));
        return;
      }
      Split split = (Split) decision;
      assertThat(leaving.contains(split.decode()), is(false));
      activePlacements.put(split.request(), split);
      double price = request.promptTokens() + POLICY.outputTokenPrice() * 100;
      placedTokens.merge(request.account(), price, Double::sum);
    }

    /** Checks that the active placements fit into each endpoint's memory. */
    private void assertMemoryWithinLimit() {
      Map<EndpointId, Integer> used = new HashMap<>();
      activePlacements
          .values()
          .forEach(split -> used.merge(split.decode(), pieces(split.request()), Integer::sum));
      used.values()
          .forEach(pieces -> assertThat(pieces, lessThanOrEqualTo(TestFleet.MEMORY_PIECES)));
    }

    /**
     * Checks that two backlogged accounts never differ by more than two of the largest requests.
     */
    private void assertServedEvenly() {
      List<Double> served = new ArrayList<>(placedTokens.values());
      if (served.size() == 2 && scheduler.queuedRequests() > 20) {
        double largest = 4_100 + POLICY.outputTokenPrice() * 100;
        double drift = Math.abs(served.get(0) - served.get(1));
        assertThat(drift, lessThanOrEqualTo(2 * largest));
      }
    }
  }
}
