package org.knapweedcleat.router.gate;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.id.AccountId;

/** Enforces the rate limits of client accounts across all instances. */
public interface AccountRateLimiter {

  /**
   * Acquires tokens.
   *
   * @param account the client account
   * @param tokens the number of tokens, at least 1
   * @return the decision; never fails
   */
  Uni<RateLimitDecision> acquire(AccountId account, long tokens);

  /**
   * Refunds tokens that were acquired but not used.
   *
   * @param account the client account
   * @param tokens the number of tokens, at least 0
   */
  void refund(AccountId account, long tokens);
}
