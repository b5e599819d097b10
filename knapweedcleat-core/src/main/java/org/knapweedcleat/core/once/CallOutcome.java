package org.knapweedcleat.core.once;

import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ExecutionStatus;

/** How a plain call came out. */
public sealed interface CallOutcome {

  /**
   * Tells whether the call has run.
   *
   * @return what may truthfully be said
   */
  ExecutionStatus executionStatus();

  /**
   * The endpoint answered.
   *
   * @param answer its answer
   */
  record Answered(PlainAnswer answer) implements CallOutcome {
    @Override
    public ExecutionStatus executionStatus() {
      return ExecutionStatus.YES;
    }
  }

  /**
   * The call failed.
   *
   * @param error what the caller is told
   */
  record Failed(ErrorResponse error) implements CallOutcome {
    @Override
    public ExecutionStatus executionStatus() {
      return error.executionStatus();
    }
  }
}
