package org.knapweedcleat.router.gate;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.id.AccountId;

/** Takes tokens from the rate and burst that a client account has over all instances. */
public interface AccountRateLimiter {

  /**
   * Takes tokens.
   *
   * @param account the client account
   * @param tokens how many, at least 1
   * @return whether they were taken; never fails
   */
  Uni<RateLimitDecision> acquire(AccountId account, long tokens);

  /**
   * Gives back tokens that were taken and not used.
   *
   * @param account the client account
   * @param tokens how many, at least 0
   */
  void refund(AccountId account, long tokens);
}
