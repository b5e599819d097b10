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
 * Runs one plain call from its first placement to its outcome.
 *
 * <p>An idempotent call that fails is sent again elsewhere while the deadline and the retry budget
 * allow it, never while another sending of it is under way. A call with a side effect is sent again
 * only if the one before certainly did nothing; when its caller goes away or its time is over, it
 * goes on, so that its outcome can be remembered.
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
   * Returns an attempt that has not begun.
   *
   * @param call what is asked for
   * @param budget the retries that the instance may spend
   * @param monitor where invariants are checked
   * @param nowMillis the time, monotonic
   * @return the attempt
   */
  public static PlainCallCoordinator of(
      PlainCallSpec call, PlacementRetryBudget budget, InvariantMonitor monitor, long nowMillis) {
    return new PlainCallCoordinator(call, budget, monitor, nowMillis);
  }

  /**
   * Asks for the first placement.
   *
   * @param nowMillis the time, monotonic
   * @return what has to be done
   */
  public List<PlainCallAction> start(long nowMillis) {
    budget.recordRequest();
    place(nowMillis);
    return takeActions();
  }

  /**
   * Takes an event.
   *
   * @param nowMillis the time, monotonic
   * @param event the event
   * @return what has to be done, in order
   */
  public List<PlainCallAction> handle(long nowMillis, PlainCallEvent event) {
    if (event instanceof PlainCallEvent.PlacementDecided decided) {
      onDecided(decided.decision());
    } else if (event instanceof PlainCallEvent.Answered answered) {
      onAnswered(answered.attempt());
    } else if (event instanceof PlainCallEvent.Failed failed) {
      onFailed(nowMillis, failed);
    } else if (event instanceof PlainCallEvent.Aborted given) {
      onAborted(given.cause());
    }
    return takeActions();
  }

  /**
   * Tells whether the call has run.
   *
   * @return what may truthfully be said while no answer is there
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
      ErrorCode error = ErrorCode.of(refused.reason());
      fail(error, refused.retryAfterMillis(), "the scheduler refused the request");
    } else {
      fail(ErrorCode.NO_ENDPOINT, 0, "the pool is not plain");
    }
  }

  private void sendCall(PlacementDecision.Plain plain) {
    boolean first = callsThatMayHaveRun == 0;
    boolean allowed = first || call.safety().allowsResend();
    if (!monitor.check(allowed, Invariant.AT_MOST_ONCE, call.request())) {
      fail(ErrorCode.ENDPOINT_LOST, 0, "the call may not be sent again");
      return;
    }
    stage = Stage.CALLING;
    callsThatMayHaveRun++;
    actions.add(new PlainCallAction.Call(attempt, plain.endpoint()));
  }

  private void onAnswered(int answeredAttempt) {
    if (answeredAttempt == attempt && stage.isUnderWay()) {
      report(PlacementStage.FINISHED);
      stage = Stage.OVER;
      actions.add(new PlainCallAction.Complete());
    }
  }

  private void onFailed(long now, PlainCallEvent.Failed failed) {
    if (failed.attempt() != attempt || !stage.isUnderWay()) {
      return;
    }
    boolean callerWaits = stage == Stage.CALLING;
    report(PlacementStage.ENDPOINT_FAILED);
    if (!failed.failure().mayHaveRun()) {
      callsThatMayHaveRun--;
    }
    boolean mayResend = !failed.failure().mayHaveRun() || call.safety().allowsResend();
    boolean inTime = now - startedAtMillis < call.deadlineMillis();
    if (!callerWaits || !mayResend || !inTime || attempt >= MAX_PLACEMENTS) {
      fail(ErrorCode.NO_ENDPOINT, RETRY_AFTER_MILLIS, "no endpoint answered");
    } else if (!budget.tryAcquire()) {
      fail(ErrorCode.RETRY_BUDGET, RETRY_AFTER_MILLIS, "the retry budget is used up");
    } else {
      place(now);
    }
  }

  private void onAborted(AbortCause cause) {
    if (stage == Stage.CALLING && !call.safety().allowsResend()) {
      stage = Stage.LATE;
      actions.add(
          new PlainCallAction.NotifyCaller(
              ErrorResponse.withFallback(cause.errorCode(), executionStatus(), 0, cause.message())));
    } else if (stage == Stage.CALLING || stage == Stage.PLACING) {
      report(PlacementStage.CANCELLED);
      fail(cause.errorCode(), 0, cause.message());
    }
  }

  private void place(long now) {
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

  private void fail(ErrorCode error, long retryAfterMillis, String message) {
    stage = Stage.OVER;
    actions.add(new PlainCallAction.Fail(ErrorResponse.withFallback(error, executionStatus(), retryAfterMillis, message)));
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

    boolean isUnderWay() {
      return this == CALLING || this == LATE;
    }
  }
}
