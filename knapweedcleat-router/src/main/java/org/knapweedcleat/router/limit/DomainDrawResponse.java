package org.knapweedcleat.router.limit;

import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.gate.RateLimitDecision;

/**
 * Answers a {@link DomainDrawRequest}.
 *
 * @param grantedTokens how many were granted, 0 for a denial
 * @param reason why nothing was granted; without meaning for a grant
 * @param retryAfterMillis when asking again may succeed
 */
public record DomainDrawResponse(long grantedTokens, DenialReason reason, long retryAfterMillis)
    implements PeerMessage {

  /**
   * Returns the message for an outcome.
   *
   * @param outcome the outcome
   * @return the message
   */
  public static DomainDrawResponse of(RateLimitDecision outcome) {
    if (outcome instanceof RateLimitDecision.Denied denied) {
      return new DomainDrawResponse(0, denied.reason(), denied.retryAfterMillis());
    }
    long tokens = ((RateLimitDecision.Granted) outcome).tokens();
    return new DomainDrawResponse(tokens, DenialReason.OVER_RATE, 0);
  }

  /**
   * Returns the outcome that the message is for.
   *
   * @return the outcome
   */
  public RateLimitDecision toOutcome() {
    return grantedTokens > 0
        ? new RateLimitDecision.Granted(grantedTokens)
        : new RateLimitDecision.Denied(reason, retryAfterMillis);
  }
}
