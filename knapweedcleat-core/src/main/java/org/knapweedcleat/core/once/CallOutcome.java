package org.knapweedcleat.core.once;

import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.core.attempt.Ran;

/** How a plain call came out. */
public sealed interface CallOutcome {

  /**
   * Tells whether the call has run.
   *
   * @return what may truthfully be said
   */
  Ran ran();

  /**
   * The endpoint answered.
   *
   * @param answer its answer
   */
  record Answered(PlainAnswer answer) implements CallOutcome {
    @Override
    public Ran ran() {
      return Ran.YES;
    }
  }

  /**
   * The call failed.
   *
   * @param failure what the caller is told
   */
  record Failed(CallerFailure failure) implements CallOutcome {
    @Override
    public Ran ran() {
      return failure.ran();
    }
  }
}
