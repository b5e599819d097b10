package org.knapweedcleat.router.limit;

import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.gate.RateLimitDecision;

/**
 * Responds to a {@link DomainDrawRequest}.
 *
 * @param grantedTokens the number of tokens granted, 0 if denied
 * @param reason the reason for a denial; meaningless if tokens were granted
 * @param retryAfterMillis the delay after which another attempt may succeed
 */
public record DomainDrawResponse(long grantedTokens, DenialReason reason, long retryAfterMillis)
    implements PeerMessage {

  /**
   * Converts an outcome to a message.
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
   * Converts this message to an outcome.
   *
   * @return the outcome
   */
  public RateLimitDecision toOutcome() {
    return grantedTokens > 0
        ? new RateLimitDecision.Granted(grantedTokens)
        : new RateLimitDecision.Denied(reason, retryAfterMillis);
  }
}
