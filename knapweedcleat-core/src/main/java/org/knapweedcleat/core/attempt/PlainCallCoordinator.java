package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;

/**
 * Coordinates a plain call from its first placement to its outcome. This is a state machine without
 * I/O: events go in, and the actions to perform come out.
 *
 * <p>A failed idempotent call is retried at another endpoint while the deadline and the retry
 * budget allow it, but never while an earlier attempt is in flight. A call with side effects is
 * retried only if the previous attempt certainly did nothing. If its caller disconnects or its
 * deadline passes, it continues so that its outcome can be stored.
 */
public final class PlainCallCoordinator {

  private static final int MAX_PLACEMENTS = 4;
  private static final long RETRY_AFTER_MILLIS = 100;

  private final PlainCallSpec call;
  private final PlacementRetryBudget budget;
  private final InvariantMonitor monitor;
  private final long startedAtMillis;
  private final List<PlainCallAction> actions = new ArrayList<>();

  private Stage stage = Stage.PLACING;
  private int attempt;
  private int callsThatMayHaveRun;

  private PlainCallCoordinator(
      PlainCallSpec call, PlacementRetryBudget budget, InvariantMonitor monitor, long nowMillis) {
    this.call = call;
    this.budget = budget;
    this.monitor = monitor;
    this.startedAtMillis = nowMillis;
  }

  /**
   * Returns a coordinator for a call that has not started.
   *
   * @param call the call
   * @param budget the retry budget of the instance
   * @param monitor records invariant violations
   * @param nowMillis the current monotonic time
   * @return the coordinator
   */
  public static PlainCallCoordinator of(
      PlainCallSpec call, PlacementRetryBudget budget, InvariantMonitor monitor, long nowMillis) {
    return new PlainCallCoordinator(call, budget, monitor, nowMillis);
  }

  /**
   * Starts the call by requesting its first placement.
   *
   * @param nowMillis the current monotonic time
   * @return the actions to perform
   */
  public List<PlainCallAction> start(long nowMillis) {
    budget.recordRequest();
    requestPlacement(nowMillis);
    return takeActions();
  }

  /**
   * Handles an event.
   *
   * @param nowMillis the current monotonic time
   * @param event the event
   * @return the actions to perform, in order
   */
  public List<PlainCallAction> handle(long nowMillis, PlainCallEvent event) {
    if (event instanceof PlainCallEvent.PlacementDecided decided) {
      onDecided(decided.decision());
    } else if (event instanceof PlainCallEvent.Answered answered) {
      onAnswered(answered.attempt());
    } else if (event instanceof PlainCallEvent.Failed failed) {
      onFailed(nowMillis, failed);
    } else if (event instanceof PlainCallEvent.Aborted aborted) {
      onAborted(aborted.cause());
    }
    return takeActions();
  }

  /**
   * Returns whether the call has run, as far as is known before it is answered.
   *
   * @return the execution status
   */
  public ExecutionStatus executionStatus() {
    return callsThatMayHaveRun > 0 ? ExecutionStatus.MAYBE : ExecutionStatus.NO;
  }

  private void onDecided(PlacementDecision decision) {
    if (stage == Stage.OVER) {
      report(PlacementStage.CANCELLED);
    }
    if (stage != Stage.PLACING || decision.attempt() != attempt) {
      return;
    }
    if (decision instanceof PlacementDecision.Plain plain) {
      sendCall(plain);
    } else if (decision instanceof PlacementDecision.Refused refused) {
      ErrorCode code = ErrorCode.of(refused.reason());
      fail(code, refused.retryAfterMillis(), "the scheduler refused the request");
    } else {
      fail(ErrorCode.NO_ENDPOINT, 0, "the placement is not for a plain pool");
    }
  }

  private void sendCall(PlacementDecision.Plain plain) {
    boolean first = callsThatMayHaveRun == 0;
    boolean allowed = first || call.safety().allowsResend();
    if (!monitor.check(allowed, Invariant.AT_MOST_ONCE, call.request())) {
      fail(ErrorCode.ENDPOINT_LOST, 0, "the call has side effects and must not be sent again");
      return;
    }
    stage = Stage.CALLING;
    callsThatMayHaveRun++;
    actions.add(new PlainCallAction.Call(attempt, plain.endpoint()));
  }

  private void onAnswered(int answeredAttempt) {
    if (answeredAttempt == attempt && stage.isInFlight()) {
      report(PlacementStage.FINISHED);
      stage = Stage.OVER;
      actions.add(new PlainCallAction.Complete());
    }
  }

  private void onFailed(long now, PlainCallEvent.Failed failed) {
    if (failed.attempt() != attempt || !stage.isInFlight()) {
      return;
    }
    boolean callerWaiting = stage == Stage.CALLING;
    report(PlacementStage.ENDPOINT_FAILED);
    if (!failed.failure().mayHaveRun()) {
      callsThatMayHaveRun--;
    }
    boolean mayResend = !failed.failure().mayHaveRun() || call.safety().allowsResend();
    boolean beforeDeadline = now - startedAtMillis < call.deadlineMillis();
    if (!callerWaiting || !mayResend || !beforeDeadline || attempt >= MAX_PLACEMENTS) {
      fail(ErrorCode.NO_ENDPOINT, RETRY_AFTER_MILLIS, "no endpoint answered the call");
    } else if (!budget.tryAcquire()) {
      fail(ErrorCode.RETRY_BUDGET, RETRY_AFTER_MILLIS, "the retry budget is exhausted");
    } else {
      requestPlacement(now);
    }
  }

  private void onAborted(AbortCause cause) {
    if (stage == Stage.CALLING && !call.safety().allowsResend()) {
      stage = Stage.LATE;
      actions.add(
          new PlainCallAction.NotifyCaller(
              ErrorResponse.withFallback(
                  cause.errorCode(), executionStatus(), 0, cause.message())));
    } else if (stage == Stage.CALLING || stage == Stage.PLACING) {
      report(PlacementStage.CANCELLED);
      fail(cause.errorCode(), 0, cause.message());
    }
  }

  private void requestPlacement(long now) {
    stage = Stage.PLACING;
    attempt++;
    long remainingMillis = Math.max(0, startedAtMillis + call.deadlineMillis() - now);
    actions.add(
        new PlainCallAction.Place(
            new PlacementRequest(
                call.request(),
                attempt,
                call.owner(),
                call.service(),
                call.account(),
                true,
                0,
                0,
                List.of(),
                remainingMillis)));
  }

  private void fail(ErrorCode code, long retryAfterMillis, String message) {
    stage = Stage.OVER;
    actions.add(
        new PlainCallAction.Fail(
            ErrorResponse.withFallback(code, executionStatus(), retryAfterMillis, message)));
  }

  private void report(PlacementStage reached) {
    PlacementProgress progress = new PlacementProgress(call.request(), attempt, reached, 0);
    actions.add(new PlainCallAction.Report(progress));
  }

  private List<PlainCallAction> takeActions() {
    List<PlainCallAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  private enum Stage {
    PLACING,
    CALLING,
    LATE,
    OVER;

    boolean isInFlight() {
      return this == CALLING || this == LATE;
    }
  }
}
