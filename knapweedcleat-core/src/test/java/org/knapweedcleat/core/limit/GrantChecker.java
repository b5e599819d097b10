package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.AccountId;

/**
 * Checks all grants on the simulation clock against one token bucket for each client account.
 *
 * <p>With the greatest rate and burst that any running instance applies, the bucket must never go
 * below zero by more than a rounding error. A lowered limit applies from {@link
 * #LOWER_GRACE_MILLIS} after the last instance applied it, because a draw may be in flight. A
 * refund takes effect when the instance returns it.
 *
 * <p>Running instances together must also never use more than the whole of an account.
 */
final class GrantChecker {

  /** How long a draw's answer may be in flight. */
  static final long LOWER_GRACE_MILLIS = 100;

  private static final double ROUNDING_TOKENS = 1e-6;

  private final Map<AccountId, AccountBucket> buckets = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  void updateLimits(long nowMillis, AccountId account, double tokensPerMilli, double burstTokens) {
    AccountBucket ledger =
        buckets.computeIfAbsent(account, id -> new AccountBucket(nowMillis, burstTokens));
    ledger.updateLimits(nowMillis, tokensPerMilli, burstTokens);
  }

  void recordGrant(long nowMillis, AccountId account, long tokens, Object by) {
    AccountBucket ledger = buckets.get(account);
    ledger.refill(nowMillis);
    ledger.levelTokens -= tokens;
    if (ledger.levelTokens < -ROUNDING_TOKENS) {
      violations.add(
          nowMillis
              + " ms: "
              + by
              + " granted "
              + tokens
              + " of "
              + account
              + ", exceeding the limit by "
              + -ledger.levelTokens);
    }
  }

  void checkFractions(long nowMillis, AccountId account, double sum) {
    if (sum > 1 + ROUNDING_TOKENS) {
      violations.add(nowMillis + " ms: " + sum + " times the total of " + account + " in use");
    }
  }

  void recordRefund(long nowMillis, AccountId account, long tokens) {
    AccountBucket ledger = buckets.get(account);
    ledger.refill(nowMillis);
    ledger.levelTokens = Math.min(ledger.burstTokens, ledger.levelTokens + tokens);
  }

  boolean hasTokens(long nowMillis, AccountId account, long tokens) {
    AccountBucket ledger = buckets.get(account);
    if (ledger == null) {
      return false;
    }
    ledger.refill(nowMillis);
    return ledger.levelTokens >= tokens;
  }

  List<String> violations() {
    return violations;
  }

  /** The token bucket of one account. */
  private static final class AccountBucket {

    private double levelTokens;
    private double burstTokens;
    private double tokensPerMilli;
    private double nextBurstTokens;
    private double nextTokensPerMilli;
    private long lowerAtMillis = Long.MAX_VALUE;
    private long refilledAtMillis;

    AccountBucket(long nowMillis, double burstTokens) {
      this.refilledAtMillis = nowMillis;
      this.levelTokens = burstTokens;
      this.burstTokens = burstTokens;
    }

    void updateLimits(long nowMillis, double rate, double burst) {
      refill(nowMillis);
      tokensPerMilli = Math.max(tokensPerMilli, rate);
      burstTokens = Math.max(burstTokens, burst);
      if (rate != nextTokensPerMilli || burst != nextBurstTokens) {
        lowerAtMillis = nowMillis + LOWER_GRACE_MILLIS;
      }
      nextTokensPerMilli = rate;
      nextBurstTokens = burst;
    }

    void refill(long nowMillis) {
      if (lowerAtMillis <= nowMillis) {
        refillUntil(lowerAtMillis);
        tokensPerMilli = nextTokensPerMilli;
        burstTokens = nextBurstTokens;
        lowerAtMillis = Long.MAX_VALUE;
      }
      refillUntil(nowMillis);
    }

    private void refillUntil(long untilMillis) {
      double earned = tokensPerMilli * Math.max(0, untilMillis - refilledAtMillis);
      levelTokens = Math.min(burstTokens, levelTokens + earned);
      refilledAtMillis = Math.max(refilledAtMillis, untilMillis);
    }
  }
}
