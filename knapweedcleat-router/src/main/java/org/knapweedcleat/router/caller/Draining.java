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
final class Draining {

  private static final long TICK_MILLIS = 50;

  private final Serving serving;
  private final LongSupplier unusedTickets;
  private final DrainState state;
  private final Promise<Integer> drained = Promise.promise();

  private Draining(Serving serving, LongSupplier unusedTickets) {
    this.serving = serving;
    this.unusedTickets = unusedTickets;
    this.state = DrainState.initial(serving.context().limits().drainTimeoutMillis());
  }

  static Draining of(Serving serving, LongSupplier unusedTickets) {
    return new Draining(serving, unusedTickets);
  }

  /** Begins the stop; a second call changes nothing. */
  void begin() {
    if (!state.start(serving.now())) {
      return;
    }
    serving.context().audit().record(new AuditEvent.DrainStarted());
    serving.vertx().setPeriodic(TICK_MILLIS, this::look);
  }

  boolean isDraining() {
    return state.isDraining();
  }

  boolean admits() {
    return state.admitsRequests(serving.now());
  }

  /** Completes with the number of requests that were cut. */
  Future<Integer> drained() {
    return drained.future();
  }

  private void look(long timer) {
    long running = serving.running().size();
    long cancels = serving.cancels().size();
    if (state.isComplete(serving.now(), running, unusedTickets.getAsLong(), cancels)) {
      serving.vertx().cancelTimer(timer);
      finish();
    }
  }

  private void finish() {
    List<RunningCall> left = serving.running().all();
    left.forEach(call -> call.giveUp(AbortCause.STOPPED));
    int cut = left.size();
    serving
        .context()
        .monitor()
        .check(cut == 0, Invariant.DRAIN_CUTS_NOTHING, serving.context().incarnation());
    serving.context().audit().record(new AuditEvent.DrainFinished(cut));
    drained.complete(cut);
  }
}
