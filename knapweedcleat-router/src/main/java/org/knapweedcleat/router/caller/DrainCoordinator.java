package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.drain.DrainState;
import org.knapweedcleat.core.invariant.Invariant;

/** Carries out the planned stop of an instance towards its callers. */
final class DrainCoordinator {

  private static final long CHECK_INTERVAL_MILLIS = 50;

  private final RequestRuntime serving;
  private final LongSupplier unusedTickets;
  private final DrainState state;
  private final Promise<Integer> drained = Promise.promise();

  private DrainCoordinator(RequestRuntime serving, LongSupplier unusedTickets) {
    this.serving = serving;
    this.unusedTickets = unusedTickets;
    this.state = DrainState.initial(serving.context().limits().drainTimeoutMillis());
  }

  static DrainCoordinator of(RequestRuntime serving, LongSupplier unusedTickets) {
    return new DrainCoordinator(serving, unusedTickets);
  }

  /** Begins the stop; a second call changes nothing. */
  void start() {
    if (!state.start(serving.nowMillis())) {
      return;
    }
    serving.context().audit().record(new AuditEvent.DrainStarted());
    serving.vertx().setPeriodic(CHECK_INTERVAL_MILLIS, this::checkCompletion);
  }

  boolean isDraining() {
    return state.isDraining();
  }

  boolean admitsRequests() {
    return state.admitsRequests(serving.nowMillis());
  }

  /** Completes with the number of requests that were cut. */
  Future<Integer> drained() {
    return drained.future();
  }

  private void checkCompletion(long timer) {
    long running = serving.activeRequests().size();
    long cancels = serving.cancellations().unconfirmedCount();
    if (state.isComplete(serving.nowMillis(), running, unusedTickets.getAsLong(), cancels)) {
      serving.vertx().cancelTimer(timer);
      finish();
    }
  }

  private void finish() {
    List<ActiveRequest> left = serving.activeRequests().all();
    left.forEach(call -> call.abort(AbortCause.STOPPED));
    int cut = left.size();
    serving
        .context()
        .monitor()
        .check(cut == 0, Invariant.DRAIN_CUTS_NOTHING, serving.context().incarnation());
    serving.context().audit().record(new AuditEvent.DrainFinished(cut));
    drained.complete(cut);
  }
}
