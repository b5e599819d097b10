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
import org.knapweedcleat.core.schedule.ScheduleAction.Decide;

/** Random runs of a scheduler: requests, progress, late reports, failures, leaving endpoints. */
class PoolSchedulerPropertyTest {

  private static final SchedulePolicy POLICY = SchedulePolicy.standard();
  private static final int STEPS = 600;
  private static final int ENDPOINTS = 3;

  @Property(seed = "5", tries = 60)
  void keepsItsPromisesInRandomRuns(@ForAll long seed) {
    Run run = new Run(seed);
    for (int step = 0; step < STEPS; step++) {
      run.step();
    }
    run.finish();
    assertThat(run.monitor.violationCount(), is(0L));
    assertThat(run.undecided, empty());
  }

  @Property(seed = "6", tries = 20)
  void servesAccountsWithFullQueuesEvenly(@ForAll long seed) {
    Run run = new Run(seed);
    run.warmUp();
    for (int turn = 0; turn < 30; turn++) {
      run.submit(1);
      run.submit(2);
    }
    run.placedTokens.clear();
    while (run.scheduler.waiting() > 0) {
      run.endOldest(PlacementStage.FINISHED);
      run.assertEven();
    }
  }

  /** One run with what has to hold checked after each step. */
  private static final class Run {
    private final Random random;
    private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
    private final PoolScheduler scheduler =
        PoolScheduler.of(TestFleet.POOL, TestFleet.DOMAIN, POLICY, monitor);
    private final Map<RequestId, PlacementRequest> requests = new HashMap<>();
    private final Set<RequestId> undecided = new HashSet<>();
    private final Map<RequestId, Split> live = new LinkedHashMap<>();
    private final Map<AccountId, Double> placedTokens = new HashMap<>();
    private Set<EndpointId> leaving = Set.of();
    private long now;
    private int number;

    private Run(long seed) {
      random = new Random(seed);
      configure(List.of());
    }

    private void warmUp() {
      now = POLICY.warmUpMillis();
      for (EndpointId endpoint : document().endpoints().keySet()) {
        scheduler.report(now, TestFleet.idle(endpoint));
      }
    }

    private void step() {
      now += random.nextInt(50);
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> submit(1 + random.nextInt(5));
        case 4, 5 -> progressOldest();
        case 6 -> endOldest(PlacementStage.FINISHED);
        case 7 -> endOldest(randomFailure());
        case 8 -> report();
        case 9 -> take(scheduler.tick(now));
        case 10 -> maybeFail();
        default -> maybeReconfigure();
      }
      assertThat(scheduler.waiting(), lessThanOrEqualTo(TestFleet.NOTES_QUEUE_LIMIT));
    }

    private void finish() {
      now += 120_000;
      take(scheduler.tick(now));
    }

    private void submit(int account) {
      number++;
      boolean kiosk = random.nextInt(4) == 0;
      PlacementRequest request =
          TestFleet.request(
              number,
              1,
              account,
              kiosk ? TestFleet.KIOSK : TestFleet.NOTES,
              100 + random.nextInt(4_000),
              kiosk ? 1_000 : 60_000);
      requests.put(request.request(), request);
      undecided.add(request.request());
      take(scheduler.submit(now, request));
    }

    private void progressOldest() {
      for (RequestId request : List.copyOf(live.keySet())) {
        for (PlacementStage stage : PlacementStage.values()) {
          if (!stage.isTerminal() && random.nextBoolean()) {
            take(scheduler.progress(now, new PlacementProgress(request, 1, stage, 100)));
          }
        }
      }
    }

    private void endOldest(PlacementStage stage) {
      if (live.isEmpty()) {
        take(scheduler.tick(now += 100));
        return;
      }
      RequestId request = live.keySet().iterator().next();
      live.remove(request);
      int promptTokens = requests.get(request).promptTokens();
      PlacementStage prefilled = PlacementStage.PREFILLED;
      take(scheduler.progress(now, new PlacementProgress(request, 1, prefilled, promptTokens)));
      take(scheduler.progress(now, new PlacementProgress(request, 1, stage, 100)));
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

    private void report() {
      EndpointId endpoint = randomDecode();
      List<RequestId> held =
          live.values().stream()
              .filter(split -> split.decode().equals(endpoint))
              .map(Split::request)
              .toList();
      int used = held.stream().mapToInt(this::pieces).sum();
      take(scheduler.report(now, TestFleet.load(endpoint, used, held)));
      take(scheduler.report(now, TestFleet.idle(TestFleet.prefill(1 + random.nextInt(3)))));
    }

    private void maybeFail() {
      if (random.nextInt(10) == 0) {
        EndpointId endpoint = randomDecode();
        live.values().removeIf(split -> split.decode().equals(endpoint));
        take(scheduler.endpointFailed(now, endpoint));
      }
    }

    private void maybeReconfigure() {
      if (random.nextInt(10) == 0) {
        configure(random.nextBoolean() ? List.of() : List.of(randomDecode()));
      }
    }

    private void configure(List<EndpointId> nowLeaving) {
      leaving = Set.copyOf(nowLeaving);
      take(scheduler.configure(now, document()));
    }

    private FleetDocument document() {
      return TestFleet.document(ENDPOINTS, ENDPOINTS, List.copyOf(leaving));
    }

    private EndpointId randomDecode() {
      return TestFleet.decode(1 + random.nextInt(ENDPOINTS));
    }

    private int pieces(RequestId request) {
      return Waiting.piecesOf(requests.get(request));
    }

    private void take(List<ScheduleAction> actions) {
      for (ScheduleAction action : actions) {
        if (action instanceof Decide decide) {
          decided(decide.decision());
        }
      }
      assertMemoryKept();
    }

    private void decided(PlacementDecision decision) {
      assertThat("decided once", undecided.remove(decision.request()), is(true));
      PlacementRequest request = requests.get(decision.request());
      if (decision instanceof Refused refused) {
        assertThat(refused.retryAfterMillis(), is(not(0L)));
        return;
      }
      Split split = (Split) decision;
      assertThat(leaving.contains(split.decode()), is(false));
      live.put(split.request(), split);
      double price = request.promptTokens() + POLICY.outputTokenPrice() * 100;
      placedTokens.merge(request.account(), price, Double::sum);
    }

    /** What is placed and not over fits the memory of its endpoint. */
    private void assertMemoryKept() {
      Map<EndpointId, Integer> used = new HashMap<>();
      live.values()
          .forEach(split -> used.merge(split.decode(), pieces(split.request()), Integer::sum));
      used.values()
          .forEach(pieces -> assertThat(pieces, lessThanOrEqualTo(TestFleet.MEMORY_PIECES)));
    }

    /** Two accounts that both wait never drift apart by more than two of the largest requests. */
    private void assertEven() {
      List<Double> served = new ArrayList<>(placedTokens.values());
      if (served.size() == 2 && scheduler.waiting() > 20) {
        double largest = 4_100 + POLICY.outputTokenPrice() * 100;
        double drift = Math.abs(served.get(0) - served.get(1));
        assertThat(drift, lessThanOrEqualTo(2 * largest));
      }
    }
  }
}
