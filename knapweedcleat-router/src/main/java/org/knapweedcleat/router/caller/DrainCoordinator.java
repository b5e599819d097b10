package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.drain.DrainState;
import org.knapweedcleat.core.invariant.Invariant;

/** Drains the caller server: waits for the requests in progress before the instance stops. */
final class DrainCoordinator {

  private static final long CHECK_INTERVAL_MILLIS = 50;

  private final RequestRuntime runtime;
  private final LongSupplier unusedTickets;
  private final DrainState state;
  private final Promise<Integer> drained = Promise.promise();

  private DrainCoordinator(RequestRuntime runtime, LongSupplier unusedTickets) {
    this.runtime = runtime;
    this.unusedTickets = unusedTickets;
    this.state = DrainState.initial(runtime.context().limits().drainTimeoutMillis());
  }

  static DrainCoordinator of(RequestRuntime runtime, LongSupplier unusedTickets) {
    return new DrainCoordinator(runtime, unusedTickets);
  }

  /** Starts the drain; has no effect if it has already started. */
  void start() {
    if (!state.start(runtime.nowMillis())) {
      return;
    }
    runtime.context().audit().record(new AuditEvent.DrainStarted());
    runtime.vertx().setPeriodic(CHECK_INTERVAL_MILLIS, this::checkCompletion);
  }

  boolean isDraining() {
    return state.isDraining();
  }

  boolean admitsRequests() {
    return state.admitsRequests(runtime.nowMillis());
  }

  /** Completes with the number of requests that were aborted. */
  Future<Integer> drained() {
    return drained.future();
  }

  private void checkCompletion(long timer) {
    long activeRequests = runtime.activeRequests().size();
    long unconfirmedCancellations = runtime.cancellations().unconfirmedCount();
    if (state.isComplete(
        runtime.nowMillis(), activeRequests, unusedTickets.getAsLong(), unconfirmedCancellations)) {
      runtime.vertx().cancelTimer(timer);
      finish();
    }
  }

  private void finish() {
    List<ActiveRequest> remaining = runtime.activeRequests().all();
    remaining.forEach(request -> request.abort(AbortCause.STOPPED));
    int abortedRequests = remaining.size();
    runtime
        .context()
        .monitor()
        .check(abortedRequests == 0, Invariant.DRAIN_CUTS_NOTHING, runtime.context().incarnation());
    runtime.context().audit().record(new AuditEvent.DrainFinished(abortedRequests));
    drained.complete(abortedRequests);
  }
}
