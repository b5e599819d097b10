package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * An action that {@link DistributedRateLimiter} requests from its caller; each acquisition gets
 * exactly one Granted or Denied.
 */
public sealed interface LimitAction {

  /**
   * Sends a message to an incarnation; it may be lost.
   *
   * @param to the incarnation
   * @param message the message
   */
  record Send(IncarnationId to, LimitMessage message) implements LimitAction {}

  /**
   * Grants an acquisition.
   *
   * @param draw the acquisition
   * @param account the client account
   * @param tokens the number of tokens
   */
  record Granted(DrawId draw, AccountId account, long tokens) implements LimitAction {}

  /**
   * Denies an acquisition; no tokens were taken.
   *
   * @param draw the acquisition
   * @param account the client account
   * @param reason the reason
   * @param retryAfterMillis the time until enough tokens are available if no others are taken, 0 if
   *     a retry cannot succeed
   */
  record Denied(DrawId draw, AccountId account, DenialReason reason, long retryAfterMillis)
      implements LimitAction {}
}
