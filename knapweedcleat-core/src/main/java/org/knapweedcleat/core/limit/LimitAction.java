package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;

/** What {@link DistributedRateLimiter} wants done; each acquisition gets one Granted or one Denied. */
public sealed interface LimitAction {

  /**
   * Sends a message to an incarnation; it may be lost.
   *
   * @param to the incarnation
   * @param message the message
   */
  record Send(IncarnationId to, LimitMessage message) implements LimitAction {}

  /**
   * The tokens were taken.
   *
   * @param draw the acquisition
   * @param account the client account
   * @param tokens how many
   */
  record Granted(DrawId draw, AccountId account, long tokens) implements LimitAction {}

  /**
   * Nothing was taken.
   *
   * @param draw the acquisition
   * @param account the client account
   * @param reason why
   * @param retryAfterMillis when as many tokens will be there if nobody else takes any, 0 if asking
   *     again does not help
   */
  record Denied(DrawId draw, AccountId account, DenialReason reason, long retryAfterMillis)
      implements LimitAction {}
}
