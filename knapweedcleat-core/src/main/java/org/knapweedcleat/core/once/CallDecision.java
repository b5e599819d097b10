package org.knapweedcleat.core.once;

import org.knapweedcleat.core.attempt.ErrorResponse;

/** What becomes of a call that carries a ticket or a name. */
public sealed interface CallDecision {

  /**
   * The call may run now; its outcome has to be handed to {@link TicketRegistry#complete}.
   *
   * @param callRecord where the outcome is remembered
   */
  record Execute(CallRecord callRecord) implements CallDecision {}

  /**
   * The call came before and this is how it came out.
   *
   * @param outcome the outcome
   */
  record Replay(CallOutcome outcome) implements CallDecision {}

  /**
   * The call does not run now.
   *
   * @param error what the caller is told
   */
  record Reject(ErrorResponse error) implements CallDecision {}
}
