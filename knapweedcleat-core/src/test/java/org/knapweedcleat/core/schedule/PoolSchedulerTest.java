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
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

class PoolSchedulerTest {

  private static final SchedulePolicy POLICY = SchedulePolicy.defaults();
  private static final long WARM_UP_END_MILLIS = POLICY.warmUpMillis();

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private PoolScheduler scheduler;

  @BeforeEach
  void createScheduler() {
    scheduler = PoolScheduler.of(TestFleet.POOL, TestFleet.DOMAIN, POLICY, monitor);
  }

  @Test
  void placesOnPrefillAndDecodeEndpoints() {
    warmUp(TestFleet.document(1, 1, List.of()));
    List<ScheduleAction> actions =
        scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 900));
    Split split = (Split) decision(actions);
    assertThat(split.prefill(), is(TestFleet.prefill(1)));
    assertThat(split.decode(), is(TestFleet.decode(1)));
  }

  @Test
  void returnsSameDecisionForDuplicateRequest() {
    warmUp(TestFleet.document(2, 2, List.of()));
    List<ScheduleAction> first = scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 900));
    List<ScheduleAction> second =
        scheduler.submit(WARM_UP_END_MILLIS + 5, TestFleet.request(1, 1, 900));
    assertThat(second, is(first));
    assertThat(scheduler.activePlacements(), is(1));
  }

  @Test
  void placesNothingWithoutDecodeMemory() {
    warmUp(TestFleet.document(4, 1, List.of()));
    List<PlacementDecision> decisions = submitMany(30, 900);
    assertThat(decisions.size(), is(TestFleet.MEMORY_PIECES));
    scheduler.progress(WARM_UP_END_MILLIS, progress(1, PlacementStage.FINISHED));
    assertThat(scheduler.activePlacements(), is(TestFleet.MEMORY_PIECES));
  }

  @Test
  void placesNothingBeforeFirstReport() {
    scheduler.configure(0, TestFleet.document(1, 1, List.of()));
    assertThat(scheduler.submit(1, TestFleet.request(1, 1, 900)), empty());
    scheduler.applyLoad(10, TestFleet.load(TestFleet.decode(1), 20, List.of()));
    scheduler.applyLoad(10, TestFleet.idle(TestFleet.prefill(1)));
    assertThat(scheduler.tick(WARM_UP_END_MILLIS + 10), empty());
    List<ScheduleAction> actions =
        scheduler.applyLoad(WARM_UP_END_MILLIS + 20, TestFleet.idle(TestFleet.decode(1)));
    assertThat(decision(actions), instanceOf(Split.class));
  }

  @Test
  void refusesRequestThatCannotMeetDeadline() {
    warmUp(TestFleet.document(1, 1, List.of()));
    submitMany(20, 900);
    PlacementRequest late = TestFleet.request(99, 1, 1, TestFleet.KIOSK, 900, 200);
    Refused refused = (Refused) decision(scheduler.submit(WARM_UP_END_MILLIS, late));
    assertThat(refused.reason(), is(RefusalReason.DEADLINE));
    assertThat(refused.retryAfterMillis(), greaterThan(0L));
  }

  @Test
  void refusesRequestTooLargeForAllEndpoints() {
    warmUp(TestFleet.document(1, 1, List.of()));
    Refused refused =
        (Refused) decision(scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 20_000)));
    assertThat(refused.reason(), is(RefusalReason.TOO_LARGE));
  }

  @Test
  void placesNothingOnLeavingEndpoints() {
    warmUp(TestFleet.document(2, 2, List.of(TestFleet.prefill(1), TestFleet.decode(1))));
    Split split =
        (Split) decision(scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 900)));
    assertThat(split.prefill(), is(TestFleet.prefill(2)));
    assertThat(split.decode(), is(TestFleet.decode(2)));
    assertThat(monitor.violationCount(), is(0L));
  }

  @Test
  void refusesWhenAllEndpointsAreLeaving() {
    warmUp(TestFleet.document(1, 1, List.of(TestFleet.decode(1))));
    Refused refused =
        (Refused) decision(scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 900)));
    assertThat(refused.reason(), is(RefusalReason.NO_ENDPOINT));
  }

  @Test
  void servesAccountDespiteLongQueueOfAnother() {
    warmUp(TestFleet.document(4, 1, List.of()));
    submitMany(30, 900);
    scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(99, 2, 900));
    List<ScheduleAction> actions =
        scheduler.progress(WARM_UP_END_MILLIS, progress(1, PlacementStage.FINISHED));
    assertThat(decision(actions).request(), is(RequestId.of("request-99")));
  }

  @Test
  void cancelsRequestsOfEndedIncarnationImmediately() {
    warmUp(TestFleet.document(1, 1, List.of()));
    scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 900));
    List<ScheduleAction> actions =
        scheduler.incarnationEnded(WARM_UP_END_MILLIS + 1, TestFleet.incarnation(1));
    RequestId request = RequestId.of("request-1");
    assertThat(
        actions,
        equalTo(
            List.of(
                new CancelOrphan(TestFleet.decode(1), request),
                new CancelOrphan(TestFleet.prefill(1), request))));
    assertThat(scheduler.activePlacements(), is(0));
  }

  @Test
  void blocksFailedEndpointDuringBackoff() {
    warmUp(TestFleet.document(1, 2, List.of()));
    scheduler.endpointFailed(WARM_UP_END_MILLIS, TestFleet.decode(1));
    Split first =
        (Split) decision(scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 100)));
    Split second =
        (Split) decision(scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(2, 1, 100)));
    assertThat(List.of(first.decode(), second.decode()), not(hasItem(TestFleet.decode(1))));
    long later = WARM_UP_END_MILLIS + POLICY.failureBackoffMillis();
    Split third = (Split) decision(scheduler.submit(later, TestFleet.request(3, 1, 100)));
    assertThat(third.decode(), is(TestFleet.decode(1)));
  }

  @Test
  void endsEarlierAttemptWhenNextIsSubmitted() {
    warmUp(TestFleet.document(1, 1, List.of()));
    scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 900));
    scheduler.submit(
        WARM_UP_END_MILLIS + 1, TestFleet.request(1, 2, 1, TestFleet.NOTES, 900, 60_000));
    assertThat(scheduler.activePlacements(), is(1));
  }

  @Test
  void prefersEndpointWithCachedPrefix() {
    warmUp(TestFleet.document(3, 1, List.of()));
    scheduler.applyCacheHint(new CacheHint(TestFleet.prefill(2), 7, true));
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
    Split split = (Split) decision(scheduler.submit(WARM_UP_END_MILLIS, withPrefix));
    assertThat(split.prefill(), is(TestFleet.prefill(2)));
  }

  @Test
  void endsPlacementNotClaimedByOwner() {
    warmUp(TestFleet.document(1, 1, List.of()));
    scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(1, 1, 900));
    scheduler.updateClaims(WARM_UP_END_MILLIS + 1, TestFleet.incarnation(1), List.of());
    assertThat(scheduler.activePlacements(), is(1));
    long later = WARM_UP_END_MILLIS + POLICY.orphanGraceMillis() + 1;
    scheduler.updateClaims(later, TestFleet.incarnation(1), List.of());
    assertThat(scheduler.activePlacements(), is(0));
  }

  @Test
  void refusesQueuedRequestAfterCancellation() {
    scheduler.configure(0, TestFleet.document(1, 1, List.of()));
    scheduler.submit(0, TestFleet.request(1, 1, 900));
    List<ScheduleAction> actions = scheduler.progress(1, progress(1, PlacementStage.CANCELLED));
    assertThat(decision(actions), instanceOf(Refused.class));
    assertThat(scheduler.queuedRequests(), is(0));
  }

  private void warmUp(FleetDocument document) {
    scheduler.configure(0, document);
    for (EndpointId endpoint : document.endpoints().keySet()) {
      scheduler.applyLoad(0, TestFleet.idle(endpoint));
    }
  }

  private List<PlacementDecision> submitMany(int count, int promptTokens) {
    List<PlacementDecision> decisions = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      List<ScheduleAction> actions =
          new ArrayList<>(
              scheduler.submit(WARM_UP_END_MILLIS, TestFleet.request(number, 1, promptTokens)));
      for (EndpointId prefill : prefills()) {
        actions.addAll(completePrefills(actions, prefill));
      }
      actions.forEach(action -> decisions.add(((SendDecision) action).decision()));
    }
    return decisions;
  }

  private static List<EndpointId> prefills() {
    return List.of(TestFleet.prefill(1), TestFleet.prefill(2));
  }

  private List<ScheduleAction> completePrefills(List<ScheduleAction> actions, EndpointId prefill) {
    List<ScheduleAction> newActions = new ArrayList<>();
    for (ScheduleAction action : actions) {
      PlacementDecision decision = ((SendDecision) action).decision();
      if (decision instanceof Split split && split.prefill().equals(prefill)) {
        newActions.addAll(
            scheduler.progress(
                WARM_UP_END_MILLIS,
                new PlacementProgress(
                    split.request(), split.attempt(), PlacementStage.PREFILLED, 900)));
      }
    }
    return newActions;
  }

  private static PlacementProgress progress(int number, PlacementStage stage) {
    return new PlacementProgress(RequestId.of("request-" + number), 1, stage, 10);
  }

  private static PlacementDecision decision(List<ScheduleAction> actions) {
    assertThat(actions, contains(instanceOf(SendDecision.class)));
    return ((SendDecision) actions.get(0)).decision();
  }
}
