package org.knapweedcleat.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementStage;

class SplitRequestCoordinatorTest {

  private static final RequestId REQUEST = RequestId.of("r");
  private static final int MAX_STEPS = 20_000;

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final List<AnswerToken> tokens = new ArrayList<>();
  private final List<SplitRequestAction> finalActions = new ArrayList<>();
  private long nowMillis;

  @Property(seed = "7", tries = 3_000)
  void completesOnceAndReleasesAllMemory(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 60) int faultPercent,
      @ForAll @IntRange(min = 1, max = 12) int maxTokens,
      @ForAll boolean aborted) {
    Random random = new Random(seed);
    FakeEngines engines = new FakeEngines(random, faultPercent);
    CancellationTracker tracker = CancellationTracker.of(monitor);
    SplitRequestCoordinator coordinator = coordinator(maxTokens);
    int abortAtStep = aborted ? random.nextInt(40) : -1;

    perform(coordinator, coordinator.start(nowMillis), engines, tracker);
    for (int step = 0; step < MAX_STEPS && !isFinished(coordinator, tracker); step++) {
      nowMillis += random.nextInt(3);
      if (step == abortAtStep) {
        AbortCause cause = AbortCause.values()[random.nextInt(AbortCause.values().length)];
        perform(
            coordinator,
            coordinator.handle(nowMillis, new SplitRequestEvent.Aborted(cause)),
            engines,
            tracker);
      }
      if (random.nextInt(100) < faultPercent / 10) {
        engines.restart();
      }
      Optional<SplitRequestEvent> event = engines.next();
      if (event.isPresent()) {
        perform(coordinator, coordinator.handle(nowMillis, event.get()), engines, tracker);
      }
      sendCancels(coordinator, engines, tracker, random, faultPercent);
    }
    assertCompleted(coordinator, engines, maxTokens);
  }

  @Test
  void waitsForConfirmedReleaseBeforeReusingEndpoint() {
    SplitRequestCoordinator coordinator = coordinator(4);
    coordinator.start(0);
    coordinator.handle(0, decided(1));
    List<SplitRequestAction> retry =
        coordinator.handle(0, new SplitRequestEvent.ReserveFailed(1, CallFailure.UNKNOWN));
    assertThat(retry.contains(new SplitRequestAction.Cancel(1, EndpointId.of("decode"))), is(true));

    List<SplitRequestAction> placed = coordinator.handle(0, decided(2));
    assertThat(placed.stream().noneMatch(SplitRequestAction.Reserve.class::isInstance), is(true));
    List<SplitRequestAction> released =
        coordinator.handle(0, new SplitRequestEvent.MemoryReleased(EndpointId.of("decode")));
    assertThat(released.stream().anyMatch(SplitRequestAction.Reserve.class::isInstance), is(true));
  }

  @Test
  void reportsMaybeOnceMemoryMayBeReserved() {
    SplitRequestCoordinator coordinator = coordinator(4);
    coordinator.start(0);
    assertThat(coordinator.executionStatus(), is(ExecutionStatus.NO));
    coordinator.handle(0, decided(1));
    coordinator.handle(0, new SplitRequestEvent.Reserved(1));
    List<SplitRequestAction> end =
        coordinator.handle(0, new SplitRequestEvent.Aborted(AbortCause.DEADLINE));

    SplitRequestAction.SendError sent =
        (SplitRequestAction.SendError)
            end.stream().filter(SplitRequestAction.SendError.class::isInstance).findFirst().get();
    assertThat(sent.error().code(), is(ErrorCode.ENDPOINT_LOST));
    assertThat(sent.error().executionStatus(), is(ExecutionStatus.MAYBE));
  }

  @Test
  void replacesSilentEndpointImmediately() {
    SplitRequestCoordinator coordinator = decodingCoordinator();
    coordinator.handle(0, new SplitRequestEvent.TokenArrived(1, new AnswerToken(0, "t0")));

    List<SplitRequestAction> next =
        coordinator.handle(0, new SplitRequestEvent.StreamBroken(1, CallFailure.SILENT));
    assertThat(next.stream().anyMatch(SplitRequestAction.Place.class::isInstance), is(true));
    assertThat(next.contains(new SplitRequestAction.Cancel(1, EndpointId.of("decode"))), is(true));
  }

  @Test
  void resumesAtSameEndpointOnlyAfterProgress() {
    SplitRequestCoordinator coordinator = decodingCoordinator();
    coordinator.handle(0, new SplitRequestEvent.TokenArrived(1, new AnswerToken(0, "t0")));

    List<SplitRequestAction> first =
        coordinator.handle(0, new SplitRequestEvent.StreamBroken(1, CallFailure.UNKNOWN));
    assertThat(
        first, is(List.of(new SplitRequestAction.Decode(1, 2, EndpointId.of("decode"), 1, 4))));
    List<SplitRequestAction> second =
        coordinator.handle(0, new SplitRequestEvent.StreamBroken(2, CallFailure.UNKNOWN));
    assertThat(second.stream().anyMatch(SplitRequestAction.Place.class::isInstance), is(true));
  }

  @Test
  void reportsAbortedRequestsToScheduler() {
    SplitRequestCoordinator coordinator = coordinator(4);
    coordinator.start(0);
    SplitRequestAction cancelled =
        new SplitRequestAction.Report(
            new PlacementProgress(REQUEST, 1, PlacementStage.CANCELLED, 0));

    List<SplitRequestAction> end =
        coordinator.handle(0, new SplitRequestEvent.Aborted(AbortCause.CALLER_GONE));
    assertThat(end.contains(cancelled), is(true));
    assertThat(coordinator.handle(0, decided(1)), is(List.of(cancelled)));
  }

  private void perform(
      SplitRequestCoordinator coordinator,
      List<SplitRequestAction> actions,
      FakeEngines engines,
      CancellationTracker tracker) {
    for (SplitRequestAction action : actions) {
      if (action instanceof SplitRequestAction.SendToken token) {
        tokens.add(token.token());
      } else if (action instanceof SplitRequestAction.SendEnd
          || action instanceof SplitRequestAction.SendError) {
        finalActions.add(action);
      } else if (action instanceof SplitRequestAction.Cancel cancel) {
        tracker.add(nowMillis, cancel.endpoint(), REQUEST, cancel.attempt());
      } else {
        engines.perform(action);
      }
    }
  }

  private void sendCancels(
      SplitRequestCoordinator coordinator,
      FakeEngines engines,
      CancellationTracker tracker,
      Random random,
      int faultPercent) {
    for (CancellationTracker.Cancel cancel : tracker.takeDue(nowMillis)) {
      int cancelledAttempt = tracker.attempt(cancel).orElseThrow();
      boolean lost = random.nextInt(100) < faultPercent;
      if (!lost || random.nextBoolean()) {
        engines.release(cancel.endpoint());
      }
      if (lost) {
        tracker.recordFailure(nowMillis, cancel, random.nextBoolean(), random.nextLong());
      } else if (tracker.recordConfirmation(cancel, cancelledAttempt)) {
        perform(
            coordinator,
            coordinator.handle(nowMillis, new SplitRequestEvent.MemoryReleased(cancel.endpoint())),
            engines,
            tracker);
      }
    }
  }

  private static boolean isFinished(
      SplitRequestCoordinator coordinator, CancellationTracker tracker) {
    return coordinator.isFinished() && tracker.size() == 0;
  }

  private void assertCompleted(
      SplitRequestCoordinator coordinator, FakeEngines engines, int maxTokens) {
    assertThat(coordinator.isFinished(), is(true));
    assertThat(finalActions.size(), is(1));
    assertThat(engines.holdsNothing(), is(true));
    assertThat(monitor.firstViolations(), is(empty()));
    for (int i = 0; i < tokens.size(); i++) {
      assertThat(tokens.get(i), is(new AnswerToken(i, "t" + i)));
    }
    assertThat(tokens.size(), is(lessThanOrEqualTo(maxTokens)));
    if (finalActions.get(0) instanceof SplitRequestAction.SendEnd end) {
      assertThat(tokens.size(), is(maxTokens));
      assertThat(end.tokens(), is(maxTokens));
    }
    tokens.clear();
    finalActions.clear();
    nowMillis = 0;
  }

  private SplitRequestCoordinator coordinator(int maxTokens) {
    SplitRequestSpec spec =
        new SplitRequestSpec(
            REQUEST,
            IncarnationId.of(InstanceId.of("instance"), 1),
            ServiceId.of("notes"),
            AccountId.of("account"),
            10,
            maxTokens,
            0,
            List.of(),
            4_000);
    return SplitRequestCoordinator.of(spec, PlacementRetryBudget.of(20, 50), monitor, nowMillis);
  }

  private SplitRequestCoordinator decodingCoordinator() {
    SplitRequestCoordinator coordinator = coordinator(4);
    coordinator.start(0);
    coordinator.handle(0, decided(1));
    coordinator.handle(0, new SplitRequestEvent.Reserved(1));
    coordinator.handle(0, new SplitRequestEvent.Prefilled(1, "handle", 10));
    coordinator.handle(0, new SplitRequestEvent.Imported(1));
    return coordinator;
  }

  private static SplitRequestEvent decided(int attempt) {
    return new SplitRequestEvent.PlacementDecided(
        new PlacementDecision.Split(
            REQUEST, attempt, EndpointId.of("prefill"), EndpointId.of("decode"), 0));
  }
}
