package org.knapweedcleat.core.attempt;

import java.util.List;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementStage;

/**
 * Coordinates a split request from its first placement to its outcome. This is a state machine
 * without I/O: events go in, and the actions to perform come out.
 *
 * <p>The stages of a placement are: reserve decode memory, wait for the scheduled delay, prefill,
 * import, decode. A failed placement is followed by another one while the deadline, the retry
 * budget and the limit on placements allow it. A decode stream that breaks after delivering tokens
 * is resumed at its endpoint, unless the endpoint went silent or lost the KV cache; in all other
 * cases a new placement continues the answer. Neither is visible to the caller. Whenever a
 * placement ends, whatever endpoints may still hold for it is cancelled.
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
      SplitRequestSpec spec,
      PlacementRetryBudget budget,
      InvariantMonitor monitor,
      long nowMillis) {
    this.spec = spec;
    this.actions = SplitRequestActionBuffer.of(spec.request());
    this.budget = budget;
    this.limits = PlacementLimits.of(nowMillis, spec.deadlineMillis());
    this.assembler =
        StreamAssembler.of(spec.request(), spec.firstPosition(), spec.maxTokens(), monitor);
  }

  /**
   * Returns a coordinator for a request that has not started.
   *
   * @param spec the parameters of the request
   * @param budget the retry budget of the instance
   * @param monitor records invariant violations
   * @param nowMillis the current monotonic time
   * @return the coordinator
   */
  public static SplitRequestCoordinator of(
      SplitRequestSpec spec,
      PlacementRetryBudget budget,
      InvariantMonitor monitor,
      long nowMillis) {
    return new SplitRequestCoordinator(spec, budget, monitor, nowMillis);
  }

  /**
   * Starts the request by requesting its first placement.
   *
   * @param nowMillis the current monotonic time
   * @return the actions to perform
   */
  public List<SplitRequestAction> start(long nowMillis) {
    budget.recordRequest();
    requestPlacement(nowMillis);
    return actions.takeAll();
  }

  /**
   * Handles an event.
   *
   * @param nowMillis the current monotonic time
   * @param event the event
   * @return the actions to perform, in order
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
   * Returns whether the request has ended.
   *
   * @return true once the end of the answer or an error was sent
   */
  public boolean isFinished() {
    return stage == SplitRequestStage.OVER;
  }

  /**
   * Returns whether the request has run.
   *
   * @return the execution status
   */
  public ExecutionStatus executionStatus() {
    if (answerStarted) {
      return ExecutionStatus.YES;
    }
    return memoryTracker.hasNoEffects() ? ExecutionStatus.NO : ExecutionStatus.MAYBE;
  }

  /**
   * Returns the number of tokens sent to the caller.
   *
   * @return the count
   */
  public int sentTokens() {
    return assembler.nextPosition() - spec.firstPosition();
  }

  /**
   * Returns the number of tokens dropped as late, duplicate or out of range.
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
    } else if (event instanceof SplitRequestEvent.Aborted aborted) {
      onAborted(aborted.cause());
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
      reserveOrAwaitRelease();
    } else if (decision instanceof PlacementDecision.Refused refused) {
      onRefused(now, refused);
    } else {
      fail(ErrorCode.NO_ENDPOINT, 0, "the placement is not for a split pool");
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

  /**
   * Reserves decode memory unless a cancellation for an earlier placement is still unconfirmed at
   * the same endpoints; a late one would release the memory of this placement.
   */
  private void reserveOrAwaitRelease() {
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
      reserveOrAwaitRelease();
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
    abandonPlacement(
        now, refused ? PlacementStage.RESERVATION_REFUSED : PlacementStage.ENDPOINT_FAILED);
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
    int fromPosition = assembler.nextPosition();
    actions.add(
        new SplitRequestAction.Decode(
            attempt, streamNumber, placement.decode(), fromPosition, spec.maxTokens()));
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
      fail(
          ErrorCode.NO_ENDPOINT,
          RETRY_AFTER_MILLIS,
          "no placement succeeded; last outcome: " + reached);
    } else if (!answerStarted && !budget.tryAcquire()) {
      fail(ErrorCode.RETRY_BUDGET, RETRY_AFTER_MILLIS, "the retry budget is exhausted");
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
    actions.add(
        new SplitRequestAction.Place(
            spec.placementRequest(attempt, assembler.nextPosition(), remainingMillis)));
  }

  private void fail(ErrorCode code, long retryAfterMillis, String message) {
    stage = SplitRequestStage.OVER;
    ErrorResponse failure =
        ErrorResponse.withFallback(code, executionStatus(), retryAfterMillis, message);
    actions.add(new SplitRequestAction.SendError(failure));
    cancelHolders();
  }

  private void cancelHolders() {
    memoryTracker
        .releaseAll()
        .forEach(endpoint -> actions.add(new SplitRequestAction.Cancel(attempt, endpoint)));
  }
}
