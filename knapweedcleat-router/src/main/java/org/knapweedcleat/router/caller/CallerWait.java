package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import java.util.function.Consumer;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.once.CallOutcome;

/** What a caller waits for, and how the waiting is given up. */
record CallerWait(Future<CallOutcome> told, Consumer<AbortCause> giveUp) {

  static CallerWait over(CallOutcome outcome) {
    return new CallerWait(Future.succeededFuture(outcome), cause -> {});
  }
}
