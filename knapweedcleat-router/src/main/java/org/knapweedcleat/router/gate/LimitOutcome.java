package org.knapweedcleat.router.gate;

/** Whether tokens were taken from a client account. */
public sealed interface LimitOutcome {

  /**
   * The tokens were taken.
   *
   * @param tokens how many
   */
  record Granted(long tokens) implements LimitOutcome {}

  /**
   * Nothing was taken.
   *
   * @param retryAfterMillis when asking again may succeed
   */
  record Denied(long retryAfterMillis) implements LimitOutcome {}
}
