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
public final class SplitRequestCoordinator {

  private static final long RELEASE_TIMEOUT_MILLIS = 250;
  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long RESUME_RETRY_DELAY_MILLIS = 100;

  private final SplitRequestSpec spec;
  private final PlacementRetryBudget budget;
  private final StreamAssembler assembler;
  private final PlacementLimits limits;
  private final EndpointMemoryTracker memoryTracker = EndpointMemoryTracker.create();
  private final SplitRequestActionBuffer actions;

  private SplitRequestStage stage = SplitRequestStage.PLACING;
  private PlacementDecision.Split placement;
  private int attempt;
  private int streamNumber;
  private int answersEnded;
  private boolean answerStarted;
  private boolean streamProgressed;
  private boolean firstTokenReported;

  private SplitRequestCoordinator(
      SplitRequestSpec spec, PlacementRetryBudget budget, InvariantMonitor monitor, long nowMillis) {
    this.spec = spec;
    this.actions = SplitRequestActionBuffer.of(spec.request());
    this.budget = budget;
    this.limits = PlacementLimits.of(nowMillis, spec.deadlineMillis());
    this.assembler =
        StreamAssembler.of(spec.request(), spec.firstPosition(), spec.maxTokens(), monitor);
  }

  /**
   * Returns an attempt that has not begun.
   *
   * @param spec what is asked for
   * @param budget the retries that the instance may spend
   * @param monitor where invariants are checked
   * @param nowMillis the time, monotonic
   * @return the attempt
   */
  public static SplitRequestCoordinator of(
      SplitRequestSpec spec, PlacementRetryBudget budget, InvariantMonitor monitor, long nowMillis) {
    return new SplitRequestCoordinator(spec, budget, monitor, nowMillis);
  }

  /**
   * Asks for the first placement.
   *
   * @param nowMillis the time, monotonic
   * @return what has to be done
   */
  public List<SplitRequestAction> start(long nowMillis) {
    budget.recordRequest();
    requestPlacement(nowMillis);
    return actions.takeAll();
  }

  /**
   * Takes an event.
   *
   * @param nowMillis the time, monotonic
   * @param event the event
   * @return what has to be done, in order
   */
  public List<SplitRequestAction> handle(long nowMillis, SplitRequestEvent event) {
    if (event instanceof SplitRequestEvent.MemoryReleased released) {
      onReleased(released.endpoint());
    } else if (stage != SplitRequestStage.OVER) {
      dispatch(nowMillis, event);
    } else if (event instanceof SplitRequestEvent.PlacementDecided late) {
      actions.report(late.decision().attempt(), PlacementStage.CANCELLED, 0);
    }
    return actions.takeAll();
  }

  /**
   * Tells whether the caller has its final answer.
   *
   * @return true after the end or the failure was sent
   */
  public boolean isFinished() {
    return stage == SplitRequestStage.OVER;
  }

  /**
   * Tells whether the request has run.
   *
   * @return what may truthfully be said
   */
  public ExecutionStatus executionStatus() {
    if (answerStarted) {
      return ExecutionStatus.YES;
    }
    return memoryTracker.hasNoEffects() ? ExecutionStatus.NO : ExecutionStatus.MAYBE;
  }

  /**
   * Counts the tokens that were passed on to the caller.
   *
   * @return the count
   */
  public int sentTokens() {
    return assembler.nextPosition() - spec.firstPosition();
  }

  /**
   * Counts the tokens that were dropped as late or doubled.
   *
   * @return the count
   */
  public long droppedTokens() {
    return assembler.droppedTokens();
  }

  private void dispatch(long now, SplitRequestEvent event) {
    if (event instanceof SplitRequestEvent.PlacementDecided decided) {
      onDecided(now, decided.decision());
    } else if (event instanceof SplitRequestEvent.Reserved reserved) {
      onReserved(reserved.attempt());
    } else if (event instanceof SplitRequestEvent.ReserveFailed failed) {
      onReserveFailed(now, failed);
    } else if (event instanceof SplitRequestEvent.TimerFired fired) {
      onTimerFired(now, fired.attempt());
    } else if (event instanceof SplitRequestEvent.Prefilled prefilled) {
      onPrefilled(prefilled);
    } else if (event instanceof SplitRequestEvent.PrefillFailed failed) {
      onPrefillFailed(now, failed);
    } else if (event instanceof SplitRequestEvent.Imported imported) {
      onImported(imported.attempt());
    } else if (event instanceof SplitRequestEvent.ImportFailed failed) {
      onImportFailed(now, failed);
    } else if (event instanceof SplitRequestEvent.Aborted given) {
      onAborted(given.cause());
    } else {
      dispatchStream(now, event);
    }
  }

  private void dispatchStream(long now, SplitRequestEvent event) {
    if (event instanceof SplitRequestEvent.TokenArrived arrived) {
      onToken(arrived);
    } else if (event instanceof SplitRequestEvent.StreamEnded ended) {
      onStreamEnded(now, ended);
    } else if (event instanceof SplitRequestEvent.StreamBroken broken) {
      onStreamBroken(now, broken.stream(), broken.failure());
    }
  }

  private void onDecided(long now, PlacementDecision decision) {
    if (stage != SplitRequestStage.PLACING || decision.attempt() != attempt) {
      return;
    }
    if (decision instanceof PlacementDecision.Split split) {
      placement = split;
      reserveWhenReleased();
    } else if (decision instanceof PlacementDecision.Refused refused) {
      onRefused(now, refused);
    } else {
      fail(ErrorCode.NO_ENDPOINT, 0, "the pool is not split");
    }
  }

  private void onRefused(long now, PlacementDecision.Refused refused) {
    if (answerStarted && limits.allowsPlacement(now, attempt, answerStarted)) {
      stage = SplitRequestStage.PAUSING;
      actions.add(new SplitRequestAction.StartTimer(attempt, RESUME_RETRY_DELAY_MILLIS));
      return;
    }
    long retryAfterMillis = refused.retryAfterMillis();
    fail(ErrorCode.of(refused.reason()), retryAfterMillis, "the scheduler refused the request");
  }

  /** A late cancel of an earlier placement must not hit this one, so it waits for the others. */
  private void reserveWhenReleased() {
    if (memoryTracker.hasPendingRelease(placement)) {
      stage = SplitRequestStage.RELEASING;
      actions.add(new SplitRequestAction.StartTimer(attempt, RELEASE_TIMEOUT_MILLIS));
      return;
    }
    stage = SplitRequestStage.RESERVING;
    memoryTracker.addHolder(placement.decode());
    actions.add(spec.reserveAction(attempt, placement));
  }

  private void onReleased(EndpointId endpoint) {
    memoryTracker.confirmRelease(endpoint);
    if (stage == SplitRequestStage.RELEASING && !memoryTracker.hasPendingRelease(placement)) {
      reserveWhenReleased();
    }
  }

  private void onReserved(int reservedAttempt) {
    if (stage != SplitRequestStage.RESERVING || reservedAttempt != attempt) {
      return;
    }
    actions.report(attempt, PlacementStage.RESERVED, 0);
    if (placement.prefillDelayMillis() > 0) {
      stage = SplitRequestStage.DELAYING;
      actions.add(new SplitRequestAction.StartTimer(attempt, placement.prefillDelayMillis()));
      return;
    }
    startPrefill();
  }

  private void onReserveFailed(long now, SplitRequestEvent.ReserveFailed failed) {
    if (stage != SplitRequestStage.RESERVING || failed.attempt() != attempt) {
      return;
    }
    if (!failed.failure().mayHaveRun()) {
      memoryTracker.removeHolder(placement.decode());
    }
    boolean refused = failed.failure() == CallFailure.REFUSED;
    abandonPlacement(now, refused ? PlacementStage.RESERVATION_REFUSED : PlacementStage.ENDPOINT_FAILED);
  }

  private void onTimerFired(long now, int timerAttempt) {
    if (timerAttempt != attempt) {
      return;
    } else if (stage == SplitRequestStage.DELAYING) {
      startPrefill();
    } else if (stage == SplitRequestStage.RELEASING) {
      abandonPlacement(now, PlacementStage.ENDPOINT_FAILED);
    } else if (stage == SplitRequestStage.PAUSING) {
      requestPlacement(now);
    }
  }

  private void startPrefill() {
    stage = SplitRequestStage.PREFILLING;
    memoryTracker.addHolder(placement.prefill());
    memoryTracker.recordPromptSent();
    actions.add(new SplitRequestAction.Prefill(attempt, placement.prefill()));
    actions.report(attempt, PlacementStage.PREFILL_STARTED, 0);
  }

  private void onPrefilled(SplitRequestEvent.Prefilled prefilled) {
    if (stage != SplitRequestStage.PREFILLING || prefilled.attempt() != attempt) {
      return;
    }
    stage = SplitRequestStage.IMPORTING;
    actions.report(attempt, PlacementStage.PREFILLED, prefilled.computedTokens());
    actions.add(
        new SplitRequestAction.Import(
            attempt, placement.decode(), placement.prefill(), prefilled.handle()));
  }

  private void onPrefillFailed(long now, SplitRequestEvent.PrefillFailed failed) {
    if (stage != SplitRequestStage.PREFILLING || failed.attempt() != attempt) {
      return;
    }
    if (!failed.failure().mayHaveRun()) {
      memoryTracker.undoPromptSent();
      memoryTracker.removeHolder(placement.prefill());
    }
    abandonPlacement(now, PlacementStage.PREFILL_FAILED);
  }

  private void onImported(int importedAttempt) {
    if (stage != SplitRequestStage.IMPORTING || importedAttempt != attempt) {
      return;
    }
    memoryTracker.removeHolder(placement.prefill());
    actions.report(attempt, PlacementStage.IMPORTED, 0);
    startDecodeStream();
  }

  private void onImportFailed(long now, SplitRequestEvent.ImportFailed failed) {
    if (stage == SplitRequestStage.IMPORTING && failed.attempt() == attempt) {
      abandonPlacement(now, PlacementStage.TRANSFER_FAILED);
    }
  }

  private void startDecodeStream() {
    stage = SplitRequestStage.DECODING;
    streamProgressed = false;
    streamNumber++;
    assembler.open(streamNumber);
    int from = assembler.nextPosition();
    actions.add(new SplitRequestAction.Decode(attempt, streamNumber, placement.decode(), from, spec.maxTokens()));
  }

  private void onToken(SplitRequestEvent.TokenArrived arrived) {
    for (AnswerToken token : assembler.accept(arrived.stream(), arrived.token())) {
      streamProgressed = true;
      startAnswer();
      actions.add(new SplitRequestAction.SendToken(token));
    }
  }

  private void startAnswer() {
    if (!firstTokenReported) {
      firstTokenReported = true;
      actions.report(attempt, PlacementStage.FIRST_TOKEN, 0);
    }
    if (!answerStarted) {
      answerStarted = true;
      actions.add(new SplitRequestAction.SendHead(placement.prefill(), placement.decode()));
    }
  }

  private void onStreamEnded(long now, SplitRequestEvent.StreamEnded ended) {
    if (ended.stream() != streamNumber || stage != SplitRequestStage.DECODING) {
      return;
    }
    if (assembler.end(streamNumber, ended.tokens())) {
      memoryTracker.removeHolder(placement.decode());
      finish();
    } else {
      onStreamBroken(now, streamNumber, CallFailure.UNKNOWN);
    }
  }

  private void onStreamBroken(long now, int brokenStream, CallFailure failure) {
    if (brokenStream != streamNumber || stage != SplitRequestStage.DECODING) {
      return;
    }
    if (assembler.nextPosition() == spec.maxTokens()) {
      assembler.end(streamNumber, spec.maxTokens());
      finish();
      return;
    }
    if (streamProgressed) {
      limits.recordStreamBreak(now);
    }
    if (streamProgressed && failure == CallFailure.UNKNOWN) {
      startDecodeStream();
    } else {
      abandonPlacement(now, PlacementStage.ENDPOINT_FAILED);
    }
  }

  private void finish() {
    startAnswer();
    assembler.checkCompletion(assembler.nextPosition(), answersEnded);
    answersEnded++;
    actions.add(new SplitRequestAction.SendEnd(assembler.nextPosition()));
    actions.report(attempt, PlacementStage.FINISHED, sentTokens());
    stage = SplitRequestStage.OVER;
    cancelHolders();
  }

  private void onAborted(AbortCause cause) {
    if (answerStarted && !cause.endsStartedAnswer()) {
      return;
    }
    actions.report(attempt, PlacementStage.CANCELLED, sentTokens());
    fail(cause.errorCode(), 0, cause.message());
  }

  private void abandonPlacement(long now, PlacementStage reached) {
    actions.report(attempt, reached, 0);
    assembler.close();
    cancelHolders();
    placement = null;
    if (!limits.allowsPlacement(now, attempt, answerStarted)) {
      fail(ErrorCode.NO_ENDPOINT, RETRY_AFTER_MILLIS, "no placement worked out: " + reached);
    } else if (!answerStarted && !budget.tryAcquire()) {
      fail(ErrorCode.RETRY_BUDGET, RETRY_AFTER_MILLIS, "the retry budget is used up");
    } else {
      requestPlacement(now);
    }
  }

  private void requestPlacement(long now) {
    stage = SplitRequestStage.PLACING;
    attempt++;
    placement = null;
    firstTokenReported = false;
    long remainingMillis = limits.remainingMillis(now, answerStarted);
    actions.add(new SplitRequestAction.Place(spec.placementRequest(attempt, assembler.nextPosition(), remainingMillis)));
  }

  private void fail(ErrorCode error, long retryAfterMillis, String message) {
    stage = SplitRequestStage.OVER;
    ErrorResponse failure = ErrorResponse.withFallback(error, executionStatus(), retryAfterMillis, message);
    actions.add(new SplitRequestAction.SendError(failure));
    cancelHolders();
  }

  private void cancelHolders() {
    memoryTracker.releaseAll().forEach(endpoint -> actions.add(new SplitRequestAction.Cancel(attempt, endpoint)));
  }
}
