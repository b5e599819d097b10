package org.knapweedcleat.core.room;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tracks how many tokens of engine memory the accounts of one rank were recently granted. */
final class AccountShares {

  /** Several times as long as a stream holds its place, so that a share is not a single call. */
  private static final long DECAY_MILLIS = 5_000;

  /** Accounts are forgotten when less than this is left of what they were granted. */
  private static final double NEGLIGIBLE_TOKENS = 1;

  private final Map<String, DecayingSum> grantedTokens = new HashMap<>();

  void recordGrant(long nowMillis, String account, long tokens) {
    grantedTokens.values().removeIf(sum -> sum.value(nowMillis) < NEGLIGIBLE_TOKENS);
    grantedTokens
        .computeIfAbsent(account, id -> new DecayingSum(DECAY_MILLIS))
        .add(nowMillis, tokens);
  }

  /**
   * Returns whether an account was granted more than an equal share among the accounts that wait.
   */
  boolean isOverShare(long nowMillis, String account, Set<String> waitingAccounts) {
    double total = 0;
    for (String waiting : waitingAccounts) {
      total += granted(nowMillis, waiting);
    }
    return granted(nowMillis, account) * waitingAccounts.size() > total;
  }

  private double granted(long nowMillis, String account) {
    DecayingSum sum = grantedTokens.get(account);
    return sum == null ? 0 : sum.value(nowMillis);
  }
}
