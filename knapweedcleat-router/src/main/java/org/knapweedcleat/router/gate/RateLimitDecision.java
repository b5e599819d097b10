package org.knapweedcleat.router.gate;

import org.knapweedcleat.core.limit.DenialReason;

/** Whether tokens were taken from a client account. */
public sealed interface RateLimitDecision {

  /**
   * The tokens were taken.
   *
   * @param tokens how many
   */
  record Granted(long tokens) implements RateLimitDecision {}

  /**
   * Nothing was taken.
   *
   * @param reason why
   * @param retryAfterMillis when asking again may succeed
   */
  record Denied(DenialReason reason, long retryAfterMillis) implements RateLimitDecision {}
}
