package org.knapweedcleat.core.attempt;

/** Why a request is given up from outside. */
public enum GiveUpCause {
  /** The caller closed its connection. */
  CALLER_GONE(CallerError.ENDPOINT_LOST, "the caller went away"),
  /** The caller's key was withdrawn. */
  KEY_WITHDRAWN(CallerError.KEY_WITHDRAWN, "the key was withdrawn"),
  /** The deadline for the first token passed. */
  DEADLINE(CallerError.DEADLINE, "the deadline passed before the first token"),
  /** The instance stops and waits no longer. */
  STOPPED(CallerError.DRAINING, "the instance stopped");

  private final CallerError error;
  private final String message;

  GiveUpCause(CallerError error, String message) {
    this.error = error;
    this.message = message;
  }

  /**
   * Returns the error to answer with when it is true to say it.
   *
   * @return the error
   */
  public CallerError error() {
    return error;
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
  public boolean endsBegunAnswer() {
    return this != DEADLINE;
  }
}
