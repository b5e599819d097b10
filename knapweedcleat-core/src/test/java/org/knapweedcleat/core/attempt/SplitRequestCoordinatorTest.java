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
  private final List<SplitRequestAction> finals = new ArrayList<>();
  private long nowMillis;

  @Property(seed = "7", tries = 3_000)
  void answersWholeAndOnceAndReleasesAllMemory(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 60) int faultPercent,
      @ForAll @IntRange(min = 1, max = 12) int maxTokens,
      @ForAll boolean givenUp) {
    Random random = new Random(seed);
    FakeEngines engines = new FakeEngines(random, faultPercent);
    CancellationTracker ledger = CancellationTracker.of(monitor);
    SplitRequestCoordinator attempt = attempt(maxTokens);
    int giveUpAt = givenUp ? random.nextInt(40) : -1;

    perform(attempt, attempt.start(nowMillis), engines, ledger);
    for (int step = 0; step < MAX_STEPS && !isSettled(attempt, ledger); step++) {
      nowMillis += random.nextInt(3);
      if (step == giveUpAt) {
        AbortCause cause = AbortCause.values()[random.nextInt(AbortCause.values().length)];
        perform(attempt, attempt.handle(nowMillis, new SplitRequestEvent.Aborted(cause)), engines, ledger);
      }
      if (random.nextInt(100) < faultPercent / 10) {
        engines.restart();
      }
      Optional<SplitRequestEvent> event = engines.next();
      if (event.isPresent()) {
        perform(attempt, attempt.handle(nowMillis, event.get()), engines, ledger);
      }
      sendCancels(attempt, engines, ledger, random, faultPercent);
    }
    checkEnd(attempt, engines, maxTokens);
  }

  @Test
  void waitsForTheReleaseBeforeItPlacesAtTheSameEndpointAgain() {
    SplitRequestCoordinator attempt = attempt(4);
    attempt.start(0);
    attempt.handle(0, decided(1));
    List<SplitRequestAction> retry = attempt.handle(0, new SplitRequestEvent.ReserveFailed(1, CallFailure.UNKNOWN));
    assertThat(retry.contains(new SplitRequestAction.Cancel(1, EndpointId.of("decode"))), is(true));

    List<SplitRequestAction> placed = attempt.handle(0, decided(2));
    assertThat(placed.stream().noneMatch(SplitRequestAction.Reserve.class::isInstance), is(true));
    List<SplitRequestAction> released = attempt.handle(0, new SplitRequestEvent.MemoryReleased(EndpointId.of("decode")));
    assertThat(released.stream().anyMatch(SplitRequestAction.Reserve.class::isInstance), is(true));
  }

  @Test
  void saysMaybeOnceThePromptMayHaveLeft() {
    SplitRequestCoordinator attempt = attempt(4);
    attempt.start(0);
    assertThat(attempt.executionStatus(), is(ExecutionStatus.NO));
    attempt.handle(0, decided(1));
    attempt.handle(0, new SplitRequestEvent.Reserved(1));
    List<SplitRequestAction> end = attempt.handle(0, new SplitRequestEvent.Aborted(AbortCause.DEADLINE));

    SplitRequestAction.SendError failure =
        (SplitRequestAction.SendError)
            end.stream().filter(SplitRequestAction.SendError.class::isInstance).findFirst().get();
    assertThat(failure.error().code(), is(ErrorCode.ENDPOINT_LOST));
    assertThat(failure.error().executionStatus(), is(ExecutionStatus.MAYBE));
  }

  @Test
  void leavesEndpointsThatWentSilentAtOnce() {
    SplitRequestCoordinator attempt = decoding();
    attempt.handle(0, new SplitRequestEvent.TokenArrived(1, new AnswerToken(0, "t0")));

    List<SplitRequestAction> next = attempt.handle(0, new SplitRequestEvent.StreamBroken(1, CallFailure.SILENT));
    assertThat(next.stream().anyMatch(SplitRequestAction.Place.class::isInstance), is(true));
    assertThat(next.contains(new SplitRequestAction.Cancel(1, EndpointId.of("decode"))), is(true));
  }

  @Test
  void resumesOnceAtTheEndpointWhoseStreamBroke() {
    SplitRequestCoordinator attempt = decoding();
    attempt.handle(0, new SplitRequestEvent.TokenArrived(1, new AnswerToken(0, "t0")));

    List<SplitRequestAction> first = attempt.handle(0, new SplitRequestEvent.StreamBroken(1, CallFailure.UNKNOWN));
    assertThat(first, is(List.of(new SplitRequestAction.Decode(1, 2, EndpointId.of("decode"), 1, 4))));
    List<SplitRequestAction> second = attempt.handle(0, new SplitRequestEvent.StreamBroken(2, CallFailure.UNKNOWN));
    assertThat(second.stream().anyMatch(SplitRequestAction.Place.class::isInstance), is(true));
  }

  @Test
  void tellsTheSchedulerOfRequestsGivenUpWhileTheyWaitThere() {
    SplitRequestCoordinator attempt = attempt(4);
    attempt.start(0);
    SplitRequestAction cancelled =
        new SplitRequestAction.Report(new PlacementProgress(REQUEST, 1, PlacementStage.CANCELLED, 0));

    List<SplitRequestAction> end = attempt.handle(0, new SplitRequestEvent.Aborted(AbortCause.CALLER_GONE));
    assertThat(end.contains(cancelled), is(true));
    assertThat(attempt.handle(0, decided(1)), is(List.of(cancelled)));
  }

  private void perform(
      SplitRequestCoordinator attempt, List<SplitRequestAction> actions, FakeEngines engines, CancellationTracker ledger) {
    for (SplitRequestAction action : actions) {
      if (action instanceof SplitRequestAction.SendToken token) {
        tokens.add(token.token());
      } else if (action instanceof SplitRequestAction.SendEnd
          || action instanceof SplitRequestAction.SendError) {
        finals.add(action);
      } else if (action instanceof SplitRequestAction.Cancel cancel) {
        ledger.add(nowMillis, cancel.endpoint(), REQUEST, cancel.attempt());
      } else {
        engines.perform(action);
      }
    }
  }

  private void sendCancels(
      SplitRequestCoordinator attempt,
      FakeEngines engines,
      CancellationTracker ledger,
      Random random,
      int faultPercent) {
    for (CancellationTracker.Cancel cancel : ledger.takeDue(nowMillis)) {
      int which = ledger.attempt(cancel).orElseThrow();
      boolean lost = random.nextInt(100) < faultPercent;
      if (!lost || random.nextBoolean()) {
        engines.release(cancel.endpoint());
      }
      if (lost) {
        ledger.recordFailure(nowMillis, cancel, random.nextBoolean(), random.nextLong());
      } else if (ledger.recordConfirmation(cancel, which)) {
        perform(
            attempt,
            attempt.handle(nowMillis, new SplitRequestEvent.MemoryReleased(cancel.endpoint())),
            engines,
            ledger);
      }
    }
  }

  private static boolean isSettled(SplitRequestCoordinator attempt, CancellationTracker ledger) {
    return attempt.isFinished() && ledger.size() == 0;
  }

  private void checkEnd(SplitRequestCoordinator attempt, FakeEngines engines, int maxTokens) {
    assertThat(attempt.isFinished(), is(true));
    assertThat(finals.size(), is(1));
    assertThat(engines.holdsNothing(), is(true));
    assertThat(monitor.firstViolations(), is(empty()));
    for (int i = 0; i < tokens.size(); i++) {
      assertThat(tokens.get(i), is(new AnswerToken(i, "t" + i)));
    }
    assertThat(tokens.size(), is(lessThanOrEqualTo(maxTokens)));
    if (finals.get(0) instanceof SplitRequestAction.SendEnd end) {
      assertThat(tokens.size(), is(maxTokens));
      assertThat(end.tokens(), is(maxTokens));
    }
    tokens.clear();
    finals.clear();
    nowMillis = 0;
  }

  private SplitRequestCoordinator attempt(int maxTokens) {
    SplitRequestSpec plan =
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
    return SplitRequestCoordinator.of(plan, PlacementRetryBudget.of(20, 50), monitor, nowMillis);
  }

  private SplitRequestCoordinator decoding() {
    SplitRequestCoordinator attempt = attempt(4);
    attempt.start(0);
    attempt.handle(0, decided(1));
    attempt.handle(0, new SplitRequestEvent.Reserved(1));
    attempt.handle(0, new SplitRequestEvent.Prefilled(1, "handle", 10));
    attempt.handle(0, new SplitRequestEvent.Imported(1));
    return attempt;
  }

  private static SplitRequestEvent decided(int attempt) {
    return new SplitRequestEvent.PlacementDecided(
        new PlacementDecision.Split(
            REQUEST, attempt, EndpointId.of("prefill"), EndpointId.of("decode"), 0));
  }
}
