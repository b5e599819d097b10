package org.knapweedcleat.core.once;

import org.knapweedcleat.core.attempt.ErrorResponse;

/** The decision on a call that carries a ticket or an idempotency key. */
public sealed interface CallDecision {

  /**
   * The call may run now; its outcome has to be passed to {@link TicketRegistry#complete}.
   *
   * @param callRecord the record that stores the outcome
   */
  record Execute(CallRecord callRecord) implements CallDecision {}

  /**
   * The call was made before; its stored outcome is returned.
   *
   * @param outcome the stored outcome
   */
  record Replay(CallOutcome outcome) implements CallDecision {}

  /**
   * The call must not run.
   *
   * @param error the error response for the caller
   */
  record Reject(ErrorResponse error) implements CallDecision {}
}
