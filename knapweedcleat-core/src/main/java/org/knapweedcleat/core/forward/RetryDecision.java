package org.knapweedcleat.core.forward;

/** What to do with a call after an attempt ended without a response to forward. */
public enum RetryDecision {
  /** Send it to another endpoint. */
  AGAIN,
  /** Tell the caller that it has not run and when to retry. */
  REFUSE,
  /** Tell the caller that it failed and may have run. */
  FAIL
}
