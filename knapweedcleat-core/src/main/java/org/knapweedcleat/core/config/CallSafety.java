package org.knapweedcleat.core.config;

/** Whether a call on a route may be sent to an endpoint more than once. */
public enum CallSafety {
  /** Sending the call again changes nothing. */
  IDEMPOTENT,
  /** The call has a side effect and is sent at most once. */
  AT_MOST_ONCE;

  /**
   * Tells whether the router may send the call again after bytes of it may have left.
   *
   * @return true for idempotent calls
   */
  public boolean allowsResend() {
    return this == IDEMPOTENT;
  }
}
