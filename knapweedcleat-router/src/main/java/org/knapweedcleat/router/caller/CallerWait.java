package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import java.util.function.Consumer;
import org.knapweedcleat.core.attempt.GiveUpCause;
import org.knapweedcleat.core.once.CallOutcome;

/** What a caller waits for, and how the waiting is given up. */
record CallerWait(Future<CallOutcome> told, Consumer<GiveUpCause> giveUp) {

  static CallerWait over(CallOutcome outcome) {
    return new CallerWait(Future.succeededFuture(outcome), cause -> {});
  }
}
