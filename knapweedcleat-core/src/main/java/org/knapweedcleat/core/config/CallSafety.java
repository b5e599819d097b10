package org.knapweedcleat.core.config;

/** Whether the router may retry calls on a route. */
public enum CallSafety {
  /** Repeating the call has no further effect. */
  IDEMPOTENT,
  /** The call has side effects and is sent at most once. */
  AT_MOST_ONCE;

  /**
   * Returns whether the router may resend a call that may already have been partly sent.
   *
   * @return true for idempotent calls
   */
  public boolean allowsResend() {
    return this == IDEMPOTENT;
  }
}
