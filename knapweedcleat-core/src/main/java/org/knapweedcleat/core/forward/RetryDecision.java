package org.knapweedcleat.core.forward;

/** What becomes of a call after one of its sends has ended without an answer to pass on. */
public enum RetryDecision {
  /** It is sent to another endpoint. */
  AGAIN,
  /** The caller is told that it has not run and when to come back. */
  REFUSE,
  /** The caller is told that it failed and may have run. */
  FAIL
}
