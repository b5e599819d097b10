package org.knapweedcleat.core.attempt;

import java.util.List;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementStage;

/**
 * Runs one split request from its first placement to its end.
 *
 * <p>The stages of a placement are: reserve decode memory, wait, prefill, import, decode. A
 * placement that fails is followed by another one while the deadline, the retry budget and the
 * limit of placements allow it. A decode stream that breaks is resumed at its endpoint once, then
 * by a new placement, without the caller's seeing it. Each end but success cancels what endpoints
 * may still hold.
 */
public final class SplitAttempt {

  private static final long RELEASE_WAIT_MILLIS = 250;
  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long RESUME_PAUSE_MILLIS = 100;

  private final SplitPlan plan;
  private final AttemptBudget budget;
  private final StreamAssembler assembler;
  private final PlacementLimits limits;
  private final EndpointMemory memory = EndpointMemory.create();
  private final SplitActions out;

  private SplitStage stage = SplitStage.PLACING;
  private PlacementDecision.Split placement;
  private int attempt;
  private int stream;
  private int ends;
  private boolean begun;
  private boolean progressed;
  private boolean firstTokenReported;

  private SplitAttempt(
      SplitPlan plan, AttemptBudget budget, InvariantMonitor monitor, long nowMillis) {
    this.plan = plan;
    this.out = SplitActions.of(plan.request());
    this.budget = budget;
    this.limits = PlacementLimits.of(nowMillis, plan.deadlineMillis());
    this.assembler =
        StreamAssembler.of(plan.request(), plan.firstPosition(), plan.maxTokens(), monitor);
  }

  /**
   * Returns an attempt that has not begun.
   *
   * @param plan what is asked for
   * @param budget the retries that the instance may spend
   * @param monitor where invariants are checked
   * @param nowMillis the time, monotonic
   * @return the attempt
   */
  public static SplitAttempt of(
      SplitPlan plan, AttemptBudget budget, InvariantMonitor monitor, long nowMillis) {
    return new SplitAttempt(plan, budget, monitor, nowMillis);
  }

  /**
   * Asks for the first placement.
   *
   * @param nowMillis the time, monotonic
   * @return what has to be done
   */
  public List<SplitAction> start(long nowMillis) {
    budget.earn();
    place(nowMillis);
    return out.drain();
  }

  /**
   * Takes an event.
   *
   * @param nowMillis the time, monotonic
   * @param event the event
   * @return what has to be done, in order
   */
  public List<SplitAction> on(long nowMillis, SplitEvent event) {
    if (event instanceof SplitEvent.Released released) {
      onReleased(released.endpoint());
    } else if (stage != SplitStage.OVER) {
      dispatch(nowMillis, event);
    } else if (event instanceof SplitEvent.Decided late) {
      out.report(late.decision().attempt(), PlacementStage.CANCELLED, 0);
    }
    return out.drain();
  }

  /**
   * Tells whether the caller has its final answer.
   *
   * @return true after the end or the failure was sent
   */
  public boolean isOver() {
    return stage == SplitStage.OVER;
  }

  /**
   * Tells whether the request has run.
   *
   * @return what may truthfully be said
   */
  public Ran ran() {
    if (begun) {
      return Ran.YES;
    }
    return memory.isClean() ? Ran.NO : Ran.MAYBE;
  }

  /**
   * Counts the tokens that were passed on to the caller.
   *
   * @return the count
   */
  public int sentTokens() {
    return assembler.nextPosition() - plan.firstPosition();
  }

  /**
   * Counts the tokens that were dropped as late or doubled.
   *
   * @return the count
   */
  public long droppedTokens() {
    return assembler.dropped();
  }

  private void dispatch(long now, SplitEvent event) {
    if (event instanceof SplitEvent.Decided decided) {
      onDecided(now, decided.decision());
    } else if (event instanceof SplitEvent.Reserved reserved) {
      onReserved(reserved.attempt());
    } else if (event instanceof SplitEvent.ReserveFailed failed) {
      onReserveFailed(now, failed);
    } else if (event instanceof SplitEvent.TimerFired fired) {
      onTimer(now, fired.attempt());
    } else if (event instanceof SplitEvent.Prefilled prefilled) {
      onPrefilled(prefilled);
    } else if (event instanceof SplitEvent.PrefillFailed failed) {
      onPrefillFailed(now, failed);
    } else if (event instanceof SplitEvent.Imported imported) {
      onImported(imported.attempt());
    } else if (event instanceof SplitEvent.ImportFailed failed) {
      onImportFailed(now, failed);
    } else if (event instanceof SplitEvent.GivenUp given) {
      onGivenUp(given.cause());
    } else {
      dispatchStream(now, event);
    }
  }

  private void dispatchStream(long now, SplitEvent event) {
    if (event instanceof SplitEvent.TokenArrived arrived) {
      onToken(arrived);
    } else if (event instanceof SplitEvent.StreamEnded ended) {
      onStreamEnded(now, ended);
    } else if (event instanceof SplitEvent.StreamBroken broken) {
      onStreamBroken(now, broken.stream(), broken.failure());
    }
  }

  private void onDecided(long now, PlacementDecision decision) {
    if (stage != SplitStage.PLACING || decision.attempt() != attempt) {
      return;
    }
    if (decision instanceof PlacementDecision.Split split) {
      placement = split;
      reserveWhenReleased();
    } else if (decision instanceof PlacementDecision.Refused refused) {
      onRefused(now, refused);
    } else {
      fail(CallerError.NO_ENDPOINT, 0, "the pool is not split");
    }
  }

  private void onRefused(long now, PlacementDecision.Refused refused) {
    if (begun && limits.allow(now, attempt, begun)) {
      stage = SplitStage.PAUSING;
      out.add(new SplitAction.StartTimer(attempt, RESUME_PAUSE_MILLIS));
      return;
    }
    long retryAfter = refused.retryAfterMillis();
    fail(CallerError.of(refused.reason()), retryAfter, "the scheduler refused the request");
  }

  /** A late cancel of an earlier placement must not hit this one, so it waits for the others. */
  private void reserveWhenReleased() {
    if (memory.blocks(placement)) {
      stage = SplitStage.RELEASING;
      out.add(new SplitAction.StartTimer(attempt, RELEASE_WAIT_MILLIS));
      return;
    }
    stage = SplitStage.RESERVING;
    memory.hold(placement.decode());
    out.add(plan.reservation(attempt, placement));
  }

  private void onReleased(EndpointId endpoint) {
    memory.confirmed(endpoint);
    if (stage == SplitStage.RELEASING && !memory.blocks(placement)) {
      reserveWhenReleased();
    }
  }

  private void onReserved(int which) {
    if (stage != SplitStage.RESERVING || which != attempt) {
      return;
    }
    out.report(attempt, PlacementStage.RESERVED, 0);
    if (placement.prefillDelayMillis() > 0) {
      stage = SplitStage.DELAYING;
      out.add(new SplitAction.StartTimer(attempt, placement.prefillDelayMillis()));
      return;
    }
    prefill();
  }

  private void onReserveFailed(long now, SplitEvent.ReserveFailed failed) {
    if (stage != SplitStage.RESERVING || failed.attempt() != attempt) {
      return;
    }
    if (!failed.failure().mayHaveRun()) {
      memory.drop(placement.decode());
    }
    boolean refused = failed.failure() == CallFailure.REFUSED;
    abandon(now, refused ? PlacementStage.RESERVATION_REFUSED : PlacementStage.ENDPOINT_FAILED);
  }

  private void onTimer(long now, int which) {
    if (which != attempt) {
      return;
    } else if (stage == SplitStage.DELAYING) {
      prefill();
    } else if (stage == SplitStage.RELEASING) {
      abandon(now, PlacementStage.ENDPOINT_FAILED);
    } else if (stage == SplitStage.PAUSING) {
      place(now);
    }
  }

  private void prefill() {
    stage = SplitStage.PREFILLING;
    memory.hold(placement.prefill());
    memory.promptSent();
    out.add(new SplitAction.Prefill(attempt, placement.prefill()));
    out.report(attempt, PlacementStage.PREFILL_STARTED, 0);
  }

  private void onPrefilled(SplitEvent.Prefilled prefilled) {
    if (stage != SplitStage.PREFILLING || prefilled.attempt() != attempt) {
      return;
    }
    stage = SplitStage.IMPORTING;
    out.report(attempt, PlacementStage.PREFILLED, prefilled.computedTokens());
    out.add(
        new SplitAction.Import(
            attempt, placement.decode(), placement.prefill(), prefilled.handle()));
  }

  private void onPrefillFailed(long now, SplitEvent.PrefillFailed failed) {
    if (stage != SplitStage.PREFILLING || failed.attempt() != attempt) {
      return;
    }
    if (!failed.failure().mayHaveRun()) {
      memory.promptRefused();
      memory.drop(placement.prefill());
    }
    abandon(now, PlacementStage.PREFILL_FAILED);
  }

  private void onImported(int which) {
    if (stage != SplitStage.IMPORTING || which != attempt) {
      return;
    }
    memory.drop(placement.prefill());
    out.report(attempt, PlacementStage.IMPORTED, 0);
    decode();
  }

  private void onImportFailed(long now, SplitEvent.ImportFailed failed) {
    if (stage == SplitStage.IMPORTING && failed.attempt() == attempt) {
      abandon(now, PlacementStage.TRANSFER_FAILED);
    }
  }

  private void decode() {
    stage = SplitStage.DECODING;
    progressed = false;
    stream++;
    assembler.open(stream);
    int from = assembler.nextPosition();
    out.add(new SplitAction.Decode(attempt, stream, placement.decode(), from, plan.maxTokens()));
  }

  private void onToken(SplitEvent.TokenArrived arrived) {
    for (AnswerToken token : assembler.accept(arrived.stream(), arrived.token())) {
      progressed = true;
      beginAnswer();
      out.add(new SplitAction.SendToken(token));
    }
  }

  private void beginAnswer() {
    if (!firstTokenReported) {
      firstTokenReported = true;
      out.report(attempt, PlacementStage.FIRST_TOKEN, 0);
    }
    if (!begun) {
      begun = true;
      out.add(new SplitAction.SendHead(placement.prefill(), placement.decode()));
    }
  }

  private void onStreamEnded(long now, SplitEvent.StreamEnded ended) {
    if (ended.stream() != stream || stage != SplitStage.DECODING) {
      return;
    }
    if (assembler.end(stream, ended.tokens())) {
      memory.drop(placement.decode());
      finish();
    } else {
      onStreamBroken(now, stream, CallFailure.UNKNOWN);
    }
  }

  private void onStreamBroken(long now, int which, CallFailure failure) {
    if (which != stream || stage != SplitStage.DECODING) {
      return;
    }
    if (assembler.nextPosition() == plan.maxTokens()) {
      assembler.end(stream, plan.maxTokens());
      finish();
      return;
    }
    if (progressed) {
      limits.broke(now);
    }
    if (progressed && failure == CallFailure.UNKNOWN) {
      decode();
    } else {
      abandon(now, PlacementStage.ENDPOINT_FAILED);
    }
  }

  private void finish() {
    beginAnswer();
    assembler.checkEnd(assembler.nextPosition(), ends);
    ends++;
    out.add(new SplitAction.SendEnd(assembler.nextPosition()));
    out.report(attempt, PlacementStage.FINISHED, sentTokens());
    stage = SplitStage.OVER;
    cancelHeld();
  }

  private void onGivenUp(GiveUpCause cause) {
    if (begun && !cause.endsBegunAnswer()) {
      return;
    }
    out.report(attempt, PlacementStage.CANCELLED, sentTokens());
    fail(cause.error(), 0, cause.message());
  }

  private void abandon(long now, PlacementStage why) {
    out.report(attempt, why, 0);
    assembler.close();
    cancelHeld();
    placement = null;
    if (!limits.allow(now, attempt, begun)) {
      fail(CallerError.NO_ENDPOINT, RETRY_AFTER_MILLIS, "no placement worked out: " + why);
    } else if (!begun && !budget.tryTake()) {
      fail(CallerError.RETRY_BUDGET, RETRY_AFTER_MILLIS, "the retry budget is used up");
    } else {
      place(now);
    }
  }

  private void place(long now) {
    stage = SplitStage.PLACING;
    attempt++;
    placement = null;
    firstTokenReported = false;
    long remaining = limits.remainingMillis(now, begun);
    out.add(new SplitAction.Place(plan.question(attempt, assembler.nextPosition(), remaining)));
  }

  private void fail(CallerError error, long retryAfterMillis, String message) {
    stage = SplitStage.OVER;
    CallerFailure failure = CallerFailure.truthful(error, ran(), retryAfterMillis, message);
    out.add(new SplitAction.SendFailure(failure));
    cancelHeld();
  }

  private void cancelHeld() {
    memory.release().forEach(endpoint -> out.add(new SplitAction.Cancel(attempt, endpoint)));
  }
}
