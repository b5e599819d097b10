package org.knapweedcleat.core.once;

import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ExecutionStatus;

/** The outcome of a plain call. */
public sealed interface CallOutcome {

  /**
   * Returns whether the call has run.
   *
   * @return the execution status
   */
  ExecutionStatus executionStatus();

  /**
   * The endpoint answered the call.
   *
   * @param answer the endpoint's answer
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
   * @param error the error response for the caller
   */
  record Failed(ErrorResponse error) implements CallOutcome {
    @Override
    public ExecutionStatus executionStatus() {
      return error.executionStatus();
    }
  }
}
