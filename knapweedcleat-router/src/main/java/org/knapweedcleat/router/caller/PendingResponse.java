package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import java.util.function.Consumer;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.once.CallOutcome;

/** What a caller waits for, and how the waiting is given up. */
record PendingResponse(Future<CallOutcome> callerOutcome, Consumer<AbortCause> abort) {

  static PendingResponse completed(CallOutcome outcome) {
    return new PendingResponse(Future.succeededFuture(outcome), cause -> {});
  }
}
