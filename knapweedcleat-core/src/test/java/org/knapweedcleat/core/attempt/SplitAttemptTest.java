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

class SplitAttemptTest {

  private static final RequestId REQUEST = RequestId.of("r");
  private static final int MAX_STEPS = 20_000;

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final List<AnswerToken> tokens = new ArrayList<>();
  private final List<SplitAction> finals = new ArrayList<>();
  private long nowMillis;

  @Property(seed = "7", tries = 3_000)
  void answersWholeAndOnceAndReleasesAllMemory(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 60) int faultPercent,
      @ForAll @IntRange(min = 1, max = 12) int maxTokens,
      @ForAll boolean givenUp) {
    Random random = new Random(seed);
    FakeEngines engines = new FakeEngines(random, faultPercent);
    CancelLedger ledger = CancelLedger.of(monitor);
    SplitAttempt attempt = attempt(maxTokens);
    int giveUpAt = givenUp ? random.nextInt(40) : -1;

    perform(attempt, attempt.start(nowMillis), engines, ledger);
    for (int step = 0; step < MAX_STEPS && !isSettled(attempt, ledger); step++) {
      nowMillis += random.nextInt(3);
      if (step == giveUpAt) {
        GiveUpCause cause = GiveUpCause.values()[random.nextInt(GiveUpCause.values().length)];
        perform(attempt, attempt.on(nowMillis, new SplitEvent.GivenUp(cause)), engines, ledger);
      }
      if (random.nextInt(100) < faultPercent / 10) {
        engines.restart();
      }
      Optional<SplitEvent> event = engines.next();
      if (event.isPresent()) {
        perform(attempt, attempt.on(nowMillis, event.get()), engines, ledger);
      }
      sendCancels(attempt, engines, ledger, random, faultPercent);
    }
    checkEnd(attempt, engines, maxTokens);
  }

  @Test
  void waitsForTheReleaseBeforeItPlacesAtTheSameEndpointAgain() {
    SplitAttempt attempt = attempt(4);
    attempt.start(0);
    attempt.on(0, decided(1));
    List<SplitAction> retry = attempt.on(0, new SplitEvent.ReserveFailed(1, CallFailure.UNKNOWN));
    assertThat(retry.contains(new SplitAction.Cancel(1, EndpointId.of("decode"))), is(true));

    List<SplitAction> placed = attempt.on(0, decided(2));
    assertThat(placed.stream().noneMatch(SplitAction.Reserve.class::isInstance), is(true));
    List<SplitAction> released = attempt.on(0, new SplitEvent.Released(EndpointId.of("decode")));
    assertThat(released.stream().anyMatch(SplitAction.Reserve.class::isInstance), is(true));
  }

  @Test
  void saysMaybeOnceThePromptMayHaveLeft() {
    SplitAttempt attempt = attempt(4);
    attempt.start(0);
    assertThat(attempt.ran(), is(Ran.NO));
    attempt.on(0, decided(1));
    attempt.on(0, new SplitEvent.Reserved(1));
    List<SplitAction> end = attempt.on(0, new SplitEvent.GivenUp(GiveUpCause.DEADLINE));

    SplitAction.SendFailure failure =
        (SplitAction.SendFailure)
            end.stream().filter(SplitAction.SendFailure.class::isInstance).findFirst().get();
    assertThat(failure.failure().error(), is(CallerError.ENDPOINT_LOST));
    assertThat(failure.failure().ran(), is(Ran.MAYBE));
  }

  @Test
  void leavesEndpointsThatWentSilentAtOnce() {
    SplitAttempt attempt = decoding();
    attempt.on(0, new SplitEvent.TokenArrived(1, new AnswerToken(0, "t0")));

    List<SplitAction> next = attempt.on(0, new SplitEvent.StreamBroken(1, CallFailure.SILENT));
    assertThat(next.stream().anyMatch(SplitAction.Place.class::isInstance), is(true));
    assertThat(next.contains(new SplitAction.Cancel(1, EndpointId.of("decode"))), is(true));
  }

  @Test
  void resumesOnceAtTheEndpointWhoseStreamBroke() {
    SplitAttempt attempt = decoding();
    attempt.on(0, new SplitEvent.TokenArrived(1, new AnswerToken(0, "t0")));

    List<SplitAction> first = attempt.on(0, new SplitEvent.StreamBroken(1, CallFailure.UNKNOWN));
    assertThat(first, is(List.of(new SplitAction.Decode(1, 2, EndpointId.of("decode"), 1, 4))));
    List<SplitAction> second = attempt.on(0, new SplitEvent.StreamBroken(2, CallFailure.UNKNOWN));
    assertThat(second.stream().anyMatch(SplitAction.Place.class::isInstance), is(true));
  }

  @Test
  void tellsTheSchedulerOfRequestsGivenUpWhileTheyWaitThere() {
    SplitAttempt attempt = attempt(4);
    attempt.start(0);
    SplitAction cancelled =
        new SplitAction.Report(new PlacementProgress(REQUEST, 1, PlacementStage.CANCELLED, 0));

    List<SplitAction> end = attempt.on(0, new SplitEvent.GivenUp(GiveUpCause.CALLER_GONE));
    assertThat(end.contains(cancelled), is(true));
    assertThat(attempt.on(0, decided(1)), is(List.of(cancelled)));
  }

  private void perform(
      SplitAttempt attempt, List<SplitAction> actions, FakeEngines engines, CancelLedger ledger) {
    for (SplitAction action : actions) {
      if (action instanceof SplitAction.SendToken token) {
        tokens.add(token.token());
      } else if (action instanceof SplitAction.SendEnd
          || action instanceof SplitAction.SendFailure) {
        finals.add(action);
      } else if (action instanceof SplitAction.Cancel cancel) {
        ledger.add(nowMillis, cancel.endpoint(), REQUEST, cancel.attempt());
      } else {
        engines.perform(action);
      }
    }
  }

  private void sendCancels(
      SplitAttempt attempt,
      FakeEngines engines,
      CancelLedger ledger,
      Random random,
      int faultPercent) {
    for (CancelLedger.Cancel cancel : ledger.due(nowMillis)) {
      int which = ledger.attempt(cancel).orElseThrow();
      boolean lost = random.nextInt(100) < faultPercent;
      if (!lost || random.nextBoolean()) {
        engines.release(cancel.endpoint());
      }
      if (lost) {
        ledger.failed(nowMillis, cancel, random.nextBoolean(), random.nextLong());
      } else if (ledger.confirmed(cancel, which)) {
        perform(
            attempt,
            attempt.on(nowMillis, new SplitEvent.Released(cancel.endpoint())),
            engines,
            ledger);
      }
    }
  }

  private static boolean isSettled(SplitAttempt attempt, CancelLedger ledger) {
    return attempt.isOver() && ledger.size() == 0;
  }

  private void checkEnd(SplitAttempt attempt, FakeEngines engines, int maxTokens) {
    assertThat(attempt.isOver(), is(true));
    assertThat(finals.size(), is(1));
    assertThat(engines.holdsNothing(), is(true));
    assertThat(monitor.kept(), is(empty()));
    for (int i = 0; i < tokens.size(); i++) {
      assertThat(tokens.get(i), is(new AnswerToken(i, "t" + i)));
    }
    assertThat(tokens.size(), is(lessThanOrEqualTo(maxTokens)));
    if (finals.get(0) instanceof SplitAction.SendEnd end) {
      assertThat(tokens.size(), is(maxTokens));
      assertThat(end.tokens(), is(maxTokens));
    }
    tokens.clear();
    finals.clear();
    nowMillis = 0;
  }

  private SplitAttempt attempt(int maxTokens) {
    SplitPlan plan =
        new SplitPlan(
            REQUEST,
            IncarnationId.of(InstanceId.of("instance"), 1),
            ServiceId.of("notes"),
            AccountId.of("account"),
            10,
            maxTokens,
            0,
            List.of(),
            4_000);
    return SplitAttempt.of(plan, AttemptBudget.of(20, 50), monitor, nowMillis);
  }

  private SplitAttempt decoding() {
    SplitAttempt attempt = attempt(4);
    attempt.start(0);
    attempt.on(0, decided(1));
    attempt.on(0, new SplitEvent.Reserved(1));
    attempt.on(0, new SplitEvent.Prefilled(1, "handle", 10));
    attempt.on(0, new SplitEvent.Imported(1));
    return attempt;
  }

  private static SplitEvent decided(int attempt) {
    return new SplitEvent.Decided(
        new PlacementDecision.Split(
            REQUEST, attempt, EndpointId.of("prefill"), EndpointId.of("decode"), 0));
  }
}
