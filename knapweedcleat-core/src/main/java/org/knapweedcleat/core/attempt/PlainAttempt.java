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
public final class PlainAttempt {

  private static final int MAX_PLACEMENTS = 4;
  private static final long RETRY_MILLIS = 100;

  private final PlainPlan plan;
  private final AttemptBudget budget;
  private final InvariantMonitor monitor;
  private final long startedAtMillis;
  private final List<PlainAction> out = new ArrayList<>();

  private Stage stage = Stage.PLACING;
  private int attempt;
  private int callsThatMayHaveRun;

  private PlainAttempt(
      PlainPlan plan, AttemptBudget budget, InvariantMonitor monitor, long nowMillis) {
    this.plan = plan;
    this.budget = budget;
    this.monitor = monitor;
    this.startedAtMillis = nowMillis;
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
  public static PlainAttempt of(
      PlainPlan plan, AttemptBudget budget, InvariantMonitor monitor, long nowMillis) {
    return new PlainAttempt(plan, budget, monitor, nowMillis);
  }

  /**
   * Asks for the first placement.
   *
   * @param nowMillis the time, monotonic
   * @return what has to be done
   */
  public List<PlainAction> start(long nowMillis) {
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
  public List<PlainAction> on(long nowMillis, PlainEvent event) {
    if (event instanceof PlainEvent.Decided decided) {
      onDecided(decided.decision());
    } else if (event instanceof PlainEvent.Answered answered) {
      onAnswered(answered.attempt());
    } else if (event instanceof PlainEvent.Failed failed) {
      onFailed(nowMillis, failed);
    } else if (event instanceof PlainEvent.GivenUp given) {
      onGivenUp(given.cause());
    }
    return drain();
  }

  /**
   * Tells whether the call has run.
   *
   * @return what may truthfully be said while no answer is there
   */
  public Ran ran() {
    return callsThatMayHaveRun > 0 ? Ran.MAYBE : Ran.NO;
  }

  private void onDecided(PlacementDecision decision) {
    if (stage == Stage.OVER) {
      report(PlacementStage.CANCELLED);
    }
    if (stage != Stage.PLACING || decision.attempt() != attempt) {
      return;
    }
    if (decision instanceof PlacementDecision.Plain plain) {
      call(plain);
    } else if (decision instanceof PlacementDecision.Refused refused) {
      CallerError error = CallerError.of(refused.reason());
      fail(error, refused.retryAfterMillis(), "the scheduler refused the request");
    } else {
      fail(CallerError.NO_ENDPOINT, 0, "the pool is not plain");
    }
  }

  private void call(PlacementDecision.Plain plain) {
    boolean first = callsThatMayHaveRun == 0;
    boolean allowed = first || plan.safety().allowsResend();
    if (!monitor.check(allowed, Invariant.AT_MOST_ONCE, plan.request())) {
      fail(CallerError.ENDPOINT_LOST, 0, "the call may not be sent again");
      return;
    }
    stage = Stage.CALLING;
    callsThatMayHaveRun++;
    out.add(new PlainAction.Call(attempt, plain.endpoint()));
  }

  private void onAnswered(int which) {
    if (which == attempt && stage.isUnderWay()) {
      report(PlacementStage.FINISHED);
      stage = Stage.OVER;
      out.add(new PlainAction.Answer());
    }
  }

  private void onFailed(long now, PlainEvent.Failed failed) {
    if (failed.attempt() != attempt || !stage.isUnderWay()) {
      return;
    }
    boolean callerWaits = stage == Stage.CALLING;
    report(PlacementStage.ENDPOINT_FAILED);
    if (!failed.failure().mayHaveRun()) {
      callsThatMayHaveRun--;
    }
    boolean sendable = !failed.failure().mayHaveRun() || plan.safety().allowsResend();
    boolean inTime = now - startedAtMillis < plan.deadlineMillis();
    if (!callerWaits || !sendable || !inTime || attempt >= MAX_PLACEMENTS) {
      fail(CallerError.NO_ENDPOINT, RETRY_MILLIS, "no endpoint answered");
    } else if (!budget.tryTake()) {
      fail(CallerError.RETRY_BUDGET, RETRY_MILLIS, "the retry budget is used up");
    } else {
      place(now);
    }
  }

  private void onGivenUp(GiveUpCause cause) {
    if (stage == Stage.CALLING && !plan.safety().allowsResend()) {
      stage = Stage.LATE;
      out.add(
          new PlainAction.TellCaller(
              CallerFailure.truthful(cause.error(), ran(), 0, cause.message())));
    } else if (stage == Stage.CALLING || stage == Stage.PLACING) {
      report(PlacementStage.CANCELLED);
      fail(cause.error(), 0, cause.message());
    }
  }

  private void place(long now) {
    stage = Stage.PLACING;
    attempt++;
    long left = Math.max(0, startedAtMillis + plan.deadlineMillis() - now);
    out.add(
        new PlainAction.Place(
            new PlacementRequest(
                plan.request(),
                attempt,
                plan.owner(),
                plan.service(),
                plan.account(),
                true,
                0,
                0,
                List.of(),
                left)));
  }

  private void fail(CallerError error, long retryAfterMillis, String message) {
    stage = Stage.OVER;
    out.add(new PlainAction.Fail(CallerFailure.truthful(error, ran(), retryAfterMillis, message)));
  }

  private void report(PlacementStage reached) {
    PlacementProgress progress = new PlacementProgress(plan.request(), attempt, reached, 0);
    out.add(new PlainAction.Report(progress));
  }

  private List<PlainAction> drain() {
    List<PlainAction> actions = List.copyOf(out);
    out.clear();
    return actions;
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
