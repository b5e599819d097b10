package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.transfer.ReservationSize;

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

  private static final int MAX_PLACEMENTS_BEFORE_ANSWER = 4;
  private static final int MAX_PLACEMENTS = 12;
  private static final long MAX_HOLD_MILLIS = 10_000;
  private static final long RELEASE_WAIT_MILLIS = 250;
  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long RESUME_PAUSE_MILLIS = 100;

  private final SplitPlan plan;
  private final AttemptBudget budget;
  private final StreamAssembler assembler;
  private final long startedAtMillis;
  private final Set<EndpointId> holding = new HashSet<>();
  private final Set<EndpointId> unreleased = new HashSet<>();
  private final List<SplitAction> out = new ArrayList<>();

  private Stage stage = Stage.PLACING;
  private PlacementDecision.Split placement;
  private String handle;
  private int attempt;
  private int stream;
  private int promptsSent;
  private int ends;
  private boolean begun;
  private boolean progressed;
  private boolean firstTokenReported;
  private long resumeUntilMillis;

  private SplitAttempt(
      SplitPlan plan, AttemptBudget budget, InvariantMonitor monitor, long nowMillis) {
    this.plan = plan;
    this.budget = budget;
    this.startedAtMillis = nowMillis;
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
    return drain();
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
    } else if (stage != Stage.OVER) {
      dispatch(nowMillis, event);
    } else if (event instanceof SplitEvent.Decided) {
      report(PlacementStage.CANCELLED, 0);
    }
    return drain();
  }

  /**
   * Tells whether the caller has its final answer.
   *
   * @return true after the end or the failure was sent
   */
  public boolean isOver() {
    return stage == Stage.OVER;
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
    boolean clean = promptsSent == 0 && holding.isEmpty() && unreleased.isEmpty();
    return clean ? Ran.NO : Ran.MAYBE;
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
    if (stage != Stage.PLACING || decision.attempt() != attempt) {
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
    if (begun && mayPlaceAgain(now)) {
      stage = Stage.PAUSING;
      out.add(new SplitAction.StartTimer(attempt, RESUME_PAUSE_MILLIS));
      return;
    }
    CallerError error = CallerError.of(refused.reason());
    fail(error, refused.retryAfterMillis(), "the scheduler refused the request");
  }

  /** A late cancel of an earlier placement must not hit this one, so it waits for the others. */
  private void reserveWhenReleased() {
    if (unreleased.contains(placement.decode()) || unreleased.contains(placement.prefill())) {
      stage = Stage.RELEASING;
      out.add(new SplitAction.StartTimer(attempt, RELEASE_WAIT_MILLIS));
      return;
    }
    stage = Stage.RESERVING;
    holding.add(placement.decode());
    int pieces = ReservationSize.pieces(plan.promptTokens(), plan.maxTokens());
    long hold = placement.prefillDelayMillis() + Math.min(plan.deadlineMillis(), MAX_HOLD_MILLIS);
    out.add(new SplitAction.Reserve(attempt, placement.decode(), pieces, hold));
  }

  private void onReleased(EndpointId endpoint) {
    unreleased.remove(endpoint);
    if (stage == Stage.RELEASING) {
      boolean blocked =
          unreleased.contains(placement.decode()) || unreleased.contains(placement.prefill());
      if (!blocked) {
        reserveWhenReleased();
      }
    }
  }

  private void onReserved(int which) {
    if (stage != Stage.RESERVING || which != attempt) {
      return;
    }
    report(PlacementStage.RESERVED, 0);
    if (placement.prefillDelayMillis() > 0) {
      stage = Stage.DELAYING;
      out.add(new SplitAction.StartTimer(attempt, placement.prefillDelayMillis()));
      return;
    }
    prefill();
  }

  private void onReserveFailed(long now, SplitEvent.ReserveFailed failed) {
    if (stage != Stage.RESERVING || failed.attempt() != attempt) {
      return;
    }
    if (!failed.failure().mayHaveRun()) {
      holding.remove(placement.decode());
    }
    boolean refused = failed.failure() == CallFailure.REFUSED;
    abandon(now, refused ? PlacementStage.RESERVATION_REFUSED : PlacementStage.ENDPOINT_FAILED);
  }

  private void onTimer(long now, int which) {
    if (which != attempt) {
      return;
    }
    if (stage == Stage.DELAYING) {
      prefill();
    } else if (stage == Stage.RELEASING) {
      abandon(now, PlacementStage.ENDPOINT_FAILED);
    } else if (stage == Stage.PAUSING) {
      place(now);
    }
  }

  private void prefill() {
    stage = Stage.PREFILLING;
    holding.add(placement.prefill());
    promptsSent++;
    out.add(new SplitAction.Prefill(attempt, placement.prefill()));
    report(PlacementStage.PREFILL_STARTED, 0);
  }

  private void onPrefilled(SplitEvent.Prefilled prefilled) {
    if (stage != Stage.PREFILLING || prefilled.attempt() != attempt) {
      return;
    }
    handle = prefilled.handle();
    stage = Stage.IMPORTING;
    report(PlacementStage.PREFILLED, prefilled.computedTokens());
    out.add(new SplitAction.Import(attempt, placement.decode(), placement.prefill(), handle));
  }

  private void onPrefillFailed(long now, SplitEvent.PrefillFailed failed) {
    if (stage != Stage.PREFILLING || failed.attempt() != attempt) {
      return;
    }
    if (!failed.failure().mayHaveRun()) {
      promptsSent--;
      holding.remove(placement.prefill());
    }
    abandon(now, PlacementStage.PREFILL_FAILED);
  }

  private void onImported(int which) {
    if (stage != Stage.IMPORTING || which != attempt) {
      return;
    }
    holding.remove(placement.prefill());
    report(PlacementStage.IMPORTED, 0);
    decode();
  }

  private void onImportFailed(long now, SplitEvent.ImportFailed failed) {
    if (stage == Stage.IMPORTING && failed.attempt() == attempt) {
      abandon(now, PlacementStage.TRANSFER_FAILED);
    }
  }

  private void decode() {
    stage = Stage.DECODING;
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
      report(PlacementStage.FIRST_TOKEN, 0);
    }
    if (!begun) {
      begun = true;
      out.add(new SplitAction.SendHead(placement.prefill(), placement.decode()));
    }
  }

  private void onStreamEnded(long now, SplitEvent.StreamEnded ended) {
    if (ended.stream() != stream || stage != Stage.DECODING) {
      return;
    }
    if (!assembler.end(stream, ended.tokens())) {
      onStreamBroken(now, stream, CallFailure.UNKNOWN);
      return;
    }
    holding.remove(placement.decode());
    finish();
  }

  private void onStreamBroken(long now, int which, CallFailure failure) {
    if (which != stream || stage != Stage.DECODING) {
      return;
    }
    if (assembler.nextPosition() == plan.maxTokens()) {
      assembler.end(stream, plan.maxTokens());
      finish();
      return;
    }
    if (progressed) {
      resumeUntilMillis = now + plan.deadlineMillis();
    }
    if (progressed && failure == CallFailure.UNKNOWN) {
      decode();
      return;
    }
    abandon(now, PlacementStage.ENDPOINT_FAILED);
  }

  private void finish() {
    beginAnswer();
    assembler.checkEnd(assembler.nextPosition(), ends);
    ends++;
    out.add(new SplitAction.SendEnd(assembler.nextPosition()));
    report(PlacementStage.FINISHED, sentTokens());
    stage = Stage.OVER;
    cancelHeld();
  }

  private void onGivenUp(GiveUpCause cause) {
    if (begun && !cause.endsBegunAnswer()) {
      return;
    }
    report(PlacementStage.CANCELLED, sentTokens());
    fail(cause.error(), 0, cause.message());
  }

  private void abandon(long now, PlacementStage why) {
    report(why, 0);
    assembler.close();
    cancelHeld();
    placement = null;
    if (!mayPlaceAgain(now)) {
      fail(CallerError.NO_ENDPOINT, RETRY_AFTER_MILLIS, "no placement worked out: " + why);
    } else if (!begun && !budget.tryTake()) {
      fail(CallerError.RETRY_BUDGET, RETRY_AFTER_MILLIS, "the retry budget is used up");
    } else {
      place(now);
    }
  }

  /** An answer that has begun gets as long again for each break as it had for its beginning. */
  private boolean mayPlaceAgain(long now) {
    if (!begun) {
      boolean inTime = now - startedAtMillis < plan.deadlineMillis();
      return inTime && attempt < MAX_PLACEMENTS_BEFORE_ANSWER;
    }
    return now < resumeUntilMillis && attempt < MAX_PLACEMENTS;
  }

  private void place(long now) {
    stage = Stage.PLACING;
    attempt++;
    placement = null;
    firstTokenReported = false;
    long until = begun ? resumeUntilMillis : startedAtMillis + plan.deadlineMillis();
    int left = plan.maxTokens() - assembler.nextPosition();
    out.add(
        new SplitAction.Place(
            new PlacementRequest(
                plan.request(),
                attempt,
                plan.owner(),
                plan.service(),
                plan.account(),
                true,
                plan.promptTokens(),
                left,
                plan.prefixHashes(),
                Math.max(0, until - now))));
  }

  private void fail(CallerError error, long retryAfterMillis, String message) {
    CallerFailure failure = CallerFailure.truthful(error, ran(), retryAfterMillis, message);
    stage = Stage.OVER;
    out.add(new SplitAction.SendFailure(failure));
    cancelHeld();
  }

  private void cancelHeld() {
    for (EndpointId endpoint : holding) {
      unreleased.add(endpoint);
      out.add(new SplitAction.Cancel(attempt, endpoint));
    }
    holding.clear();
  }

  private void report(PlacementStage reached, int tokens) {
    PlacementProgress progress = new PlacementProgress(plan.request(), attempt, reached, tokens);
    out.add(new SplitAction.Report(progress));
  }

  private List<SplitAction> drain() {
    List<SplitAction> actions = List.copyOf(out);
    out.clear();
    return actions;
  }

  private enum Stage {
    PLACING,
    RELEASING,
    RESERVING,
    DELAYING,
    PREFILLING,
    IMPORTING,
    DECODING,
    PAUSING,
    OVER
  }
}
