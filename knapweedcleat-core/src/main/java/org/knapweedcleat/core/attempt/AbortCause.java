package org.knapweedcleat.core.attempt;

/** The external cause for which a request is aborted. */
public enum AbortCause {
  /** The caller closed its connection. */
  CALLER_GONE(ErrorCode.ENDPOINT_LOST, "the caller closed its connection"),
  /** The caller's key was withdrawn. */
  KEY_WITHDRAWN(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn"),
  /** The deadline for the first token passed. */
  DEADLINE(ErrorCode.DEADLINE, "the deadline passed before the first token"),
  /** The instance is shutting down and its drain period is over. */
  STOPPED(ErrorCode.DRAINING, "the instance stopped");

  private final ErrorCode errorCode;
  private final String message;

  AbortCause(ErrorCode error, String message) {
    this.errorCode = error;
    this.message = message;
  }

  /**
   * Returns the error to report if it is allowed with the request's execution status.
   *
   * @return the error
   */
  public ErrorCode errorCode() {
    return errorCode;
  }

  /**
   * Returns the message for the caller.
   *
   * @return the message
   */
  public String message() {
    return message;
  }

  /**
   * Returns whether this cause also ends an answer that has started.
   *
   * @return false for the deadline, which only applies to the first token
   */
  public boolean endsStartedAnswer() {
    return this != DEADLINE;
  }
}
