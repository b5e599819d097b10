package org.knapweedcleat.router.gate;

import org.knapweedcleat.core.limit.DenialReason;

/** The result of acquiring tokens for a client account. */
public sealed interface RateLimitDecision {

  /**
   * The tokens were granted.
   *
   * @param tokens the number of tokens
   */
  record Granted(long tokens) implements RateLimitDecision {}

  /**
   * No tokens were granted.
   *
   * @param reason the reason
   * @param retryAfterMillis the delay after which a retry may succeed
   */
  record Denied(DenialReason reason, long retryAfterMillis) implements RateLimitDecision {}
}
