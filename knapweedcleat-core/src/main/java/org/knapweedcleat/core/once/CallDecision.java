package org.knapweedcleat.core.once;

import org.knapweedcleat.core.attempt.CallerFailure;

/** What becomes of a call that carries a ticket or a name. */
public sealed interface CallDecision {

  /**
   * The call may run now; its outcome has to be handed to {@link TicketBook#finish}.
   *
   * @param slot where the outcome is remembered
   */
  record Run(CallSlot slot) implements CallDecision {}

  /**
   * The call came before and this is how it came out.
   *
   * @param outcome the outcome
   */
  record Replay(CallOutcome outcome) implements CallDecision {}

  /**
   * The call does not run now.
   *
   * @param failure what the caller is told
   */
  record Refuse(CallerFailure failure) implements CallDecision {}
}
