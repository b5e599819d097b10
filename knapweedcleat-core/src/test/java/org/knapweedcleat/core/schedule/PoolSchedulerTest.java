package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision.Refused;
import org.knapweedcleat.core.schedule.PlacementDecision.Split;
import org.knapweedcleat.core.schedule.ScheduleAction.CancelOrphan;
import org.knapweedcleat.core.schedule.ScheduleAction.Decide;

class PoolSchedulerTest {

  private static final SchedulePolicy POLICY = SchedulePolicy.standard();
  private static final long WARM = POLICY.warmUpMillis();

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private PoolScheduler scheduler;

  @BeforeEach
  void createScheduler() {
    scheduler = PoolScheduler.of(TestFleet.POOL, TestFleet.DOMAIN, POLICY, monitor);
  }

  @Test
  void placesOnPrefillAndDecode() {
    warmUp(TestFleet.document(1, 1, List.of()));
    List<ScheduleAction> actions = scheduler.submit(WARM, TestFleet.request(1, 1, 900));
    Split split = (Split) decision(actions);
    assertThat(split.prefill(), is(TestFleet.prefill(1)));
    assertThat(split.decode(), is(TestFleet.decode(1)));
  }

  @Test
  void answersDuplicatesWithTheSameDecision() {
    warmUp(TestFleet.document(2, 2, List.of()));
    List<ScheduleAction> first = scheduler.submit(WARM, TestFleet.request(1, 1, 900));
    List<ScheduleAction> second = scheduler.submit(WARM + 5, TestFleet.request(1, 1, 900));
    assertThat(second, is(first));
    assertThat(scheduler.placements(), is(1));
  }

  @Test
  void startsNoPrefillWithoutDecodeMemory() {
    warmUp(TestFleet.document(4, 1, List.of()));
    List<PlacementDecision> decisions = submitMany(30, 900);
    assertThat(decisions.size(), is(TestFleet.MEMORY_PIECES));
    scheduler.progress(WARM, progress(1, PlacementStage.FINISHED));
    assertThat(scheduler.placements(), is(TestFleet.MEMORY_PIECES));
  }

  @Test
  void placesNothingBeforeTheFirstReport() {
    scheduler.configure(0, TestFleet.document(1, 1, List.of()));
    assertThat(scheduler.submit(1, TestFleet.request(1, 1, 900)), empty());
    scheduler.report(10, TestFleet.load(TestFleet.decode(1), 20, List.of()));
    scheduler.report(10, TestFleet.idle(TestFleet.prefill(1)));
    assertThat(scheduler.tick(WARM + 10), empty());
    List<ScheduleAction> actions = scheduler.report(WARM + 20, TestFleet.idle(TestFleet.decode(1)));
    assertThat(decision(actions), instanceOf(Split.class));
  }

  @Test
  void refusesAtOnceWhatCannotMeetItsDeadline() {
    warmUp(TestFleet.document(1, 1, List.of()));
    submitMany(20, 900);
    PlacementRequest late = TestFleet.request(99, 1, 1, TestFleet.KIOSK, 900, 200);
    Refused refused = (Refused) decision(scheduler.submit(WARM, late));
    assertThat(refused.reason(), is(RefusalReason.DEADLINE));
    assertThat(refused.retryAfterMillis(), greaterThan(0L));
  }

  @Test
  void refusesWhatNoEndpointCanHold() {
    warmUp(TestFleet.document(1, 1, List.of()));
    Refused refused = (Refused) decision(scheduler.submit(WARM, TestFleet.request(1, 1, 20_000)));
    assertThat(refused.reason(), is(RefusalReason.TOO_LARGE));
  }

  @Test
  void placesNothingOnLeavingEndpoints() {
    warmUp(TestFleet.document(2, 2, List.of(TestFleet.prefill(1), TestFleet.decode(1))));
    Split split = (Split) decision(scheduler.submit(WARM, TestFleet.request(1, 1, 900)));
    assertThat(split.prefill(), is(TestFleet.prefill(2)));
    assertThat(split.decode(), is(TestFleet.decode(2)));
    assertThat(monitor.violationCount(), is(0L));
  }

  @Test
  void refusesWhenAllEndpointsAreLeaving() {
    warmUp(TestFleet.document(1, 1, List.of(TestFleet.decode(1))));
    Refused refused = (Refused) decision(scheduler.submit(WARM, TestFleet.request(1, 1, 900)));
    assertThat(refused.reason(), is(RefusalReason.NO_ENDPOINT));
  }

  @Test
  void givesTurnsToAnAccountBehindLongQueueOfAnother() {
    warmUp(TestFleet.document(4, 1, List.of()));
    submitMany(30, 900);
    scheduler.submit(WARM, TestFleet.request(99, 2, 900));
    List<ScheduleAction> actions = scheduler.progress(WARM, progress(1, PlacementStage.FINISHED));
    assertThat(decision(actions).request(), is(RequestId.of("request-99")));
  }

  @Test
  void cancelsAtOnceWhatAnEndedIncarnationRan() {
    warmUp(TestFleet.document(1, 1, List.of()));
    scheduler.submit(WARM, TestFleet.request(1, 1, 900));
    List<ScheduleAction> actions = scheduler.incarnationEnded(WARM + 1, TestFleet.incarnation(1));
    RequestId request = RequestId.of("request-1");
    assertThat(
        actions,
        equalTo(
            List.of(
                new CancelOrphan(TestFleet.decode(1), request),
                new CancelOrphan(TestFleet.prefill(1), request))));
    assertThat(scheduler.placements(), is(0));
  }

  @Test
  void keepsWorkAwayFromFailedEndpointAtFirst() {
    warmUp(TestFleet.document(1, 2, List.of()));
    scheduler.endpointFailed(WARM, TestFleet.decode(1));
    Split first = (Split) decision(scheduler.submit(WARM, TestFleet.request(1, 1, 100)));
    Split second = (Split) decision(scheduler.submit(WARM, TestFleet.request(2, 1, 100)));
    assertThat(List.of(first.decode(), second.decode()), not(hasItem(TestFleet.decode(1))));
    long later = WARM + POLICY.failureBackoffMillis();
    Split third = (Split) decision(scheduler.submit(later, TestFleet.request(3, 1, 100)));
    assertThat(third.decode(), is(TestFleet.decode(1)));
  }

  @Test
  void endsEarlierAttemptWhenTheNextIsSubmitted() {
    warmUp(TestFleet.document(1, 1, List.of()));
    scheduler.submit(WARM, TestFleet.request(1, 1, 900));
    scheduler.submit(WARM + 1, TestFleet.request(1, 2, 1, TestFleet.NOTES, 900, 60_000));
    assertThat(scheduler.placements(), is(1));
  }

  @Test
  void prefersTheEndpointThatHasThePrefix() {
    warmUp(TestFleet.document(3, 1, List.of()));
    scheduler.cacheHint(new CacheHint(TestFleet.prefill(2), 7, true));
    PlacementRequest request = TestFleet.request(1, 1, 900);
    PlacementRequest withPrefix =
        new PlacementRequest(
            request.request(),
            1,
            request.owner(),
            request.service(),
            request.account(),
            true,
            900,
            100,
            List.of(7L),
            60_000);
    Split split = (Split) decision(scheduler.submit(WARM, withPrefix));
    assertThat(split.prefill(), is(TestFleet.prefill(2)));
  }

  @Test
  void endsPlacementsThatTheirOwnerDoesNotClaim() {
    warmUp(TestFleet.document(1, 1, List.of()));
    scheduler.submit(WARM, TestFleet.request(1, 1, 900));
    scheduler.claims(WARM + 1, TestFleet.incarnation(1), List.of());
    assertThat(scheduler.placements(), is(1));
    long later = WARM + POLICY.orphanGraceMillis() + 1;
    scheduler.claims(later, TestFleet.incarnation(1), List.of());
    assertThat(scheduler.placements(), is(0));
  }

  @Test
  void answersWaitingRequestThatItsCallerGaveUp() {
    scheduler.configure(0, TestFleet.document(1, 1, List.of()));
    scheduler.submit(0, TestFleet.request(1, 1, 900));
    List<ScheduleAction> actions = scheduler.progress(1, progress(1, PlacementStage.CANCELLED));
    assertThat(decision(actions), instanceOf(Refused.class));
    assertThat(scheduler.waiting(), is(0));
  }

  private void warmUp(FleetDocument document) {
    scheduler.configure(0, document);
    for (EndpointId endpoint : document.endpoints().keySet()) {
      scheduler.report(0, TestFleet.idle(endpoint));
    }
  }

  private List<PlacementDecision> submitMany(int count, int promptTokens) {
    List<PlacementDecision> decisions = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      List<ScheduleAction> actions =
          new ArrayList<>(scheduler.submit(WARM, TestFleet.request(number, 1, promptTokens)));
      for (EndpointId prefill : prefills()) {
        actions.addAll(finishPrefills(actions, prefill));
      }
      actions.forEach(action -> decisions.add(((Decide) action).decision()));
    }
    return decisions;
  }

  private static List<EndpointId> prefills() {
    return List.of(TestFleet.prefill(1), TestFleet.prefill(2));
  }

  private List<ScheduleAction> finishPrefills(List<ScheduleAction> actions, EndpointId prefill) {
    List<ScheduleAction> more = new ArrayList<>();
    for (ScheduleAction action : actions) {
      PlacementDecision decision = ((Decide) action).decision();
      if (decision instanceof Split split && split.prefill().equals(prefill)) {
        more.addAll(
            scheduler.progress(
                WARM,
                new PlacementProgress(
                    split.request(), split.attempt(), PlacementStage.PREFILLED, 900)));
      }
    }
    return more;
  }

  private static PlacementProgress progress(int number, PlacementStage stage) {
    return new PlacementProgress(RequestId.of("request-" + number), 1, stage, 10);
  }

  private static PlacementDecision decision(List<ScheduleAction> actions) {
    assertThat(actions, contains(instanceOf(Decide.class)));
    return ((Decide) actions.get(0)).decision();
  }
}
