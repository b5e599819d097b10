package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import java.util.function.Consumer;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.once.CallOutcome;

/**
 * The response that a caller is waiting for.
 *
 * @param callerOutcome completes with the outcome to report to the caller
 * @param abort aborts the call
 */
record PendingResponse(Future<CallOutcome> callerOutcome, Consumer<AbortCause> abort) {

  static PendingResponse completed(CallOutcome outcome) {
    return new PendingResponse(Future.succeededFuture(outcome), cause -> {});
  }
}
