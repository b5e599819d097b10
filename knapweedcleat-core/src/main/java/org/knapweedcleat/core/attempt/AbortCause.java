package org.knapweedcleat.core.attempt;

/** Why a request is given up from outside. */
public enum AbortCause {
  /** The caller closed its connection. */
  CALLER_GONE(ErrorCode.ENDPOINT_LOST, "the caller went away"),
  /** The caller's key was withdrawn. */
  KEY_WITHDRAWN(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn"),
  /** The deadline for the first token passed. */
  DEADLINE(ErrorCode.DEADLINE, "the deadline passed before the first token"),
  /** The instance stops and waits no longer. */
  STOPPED(ErrorCode.DRAINING, "the instance stopped");

  private final ErrorCode errorCode;
  private final String message;

  AbortCause(ErrorCode error, String message) {
    this.errorCode = error;
    this.message = message;
  }

  /**
   * Returns the error to answer with when it is true to say it.
   *
   * @return the error
   */
  public ErrorCode errorCode() {
    return errorCode;
  }

  /**
   * Returns what callers are told.
   *
   * @return the message
   */
  public String message() {
    return message;
  }

  /**
   * Tells whether the cause ends an answer that has begun.
   *
   * @return false for the deadline, which is for the first token
   */
  public boolean endsStartedAnswer() {
    return this != DEADLINE;
  }
}
