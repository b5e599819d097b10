package org.knapweedcleat.core.directory;

import java.util.Set;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;

/**
 * A client account with its keys and its quota over the whole fleet.
 *
 * @param account the account
 * @param keys the digests of its keys
 * @param priority the urgency of its calls, which goes before their route's; 0 is the most urgent,
 *     {@link #ROUTE_PRIORITY} if the route's holds
 * @param ratePerSecond how many units it may spend in a second, 0 for no limit
 * @param burst how many units it may save up
 * @param defaultCallUnits what a call counts that does not say its tokens
 */
public record AccountQuota(
    AccountId account,
    Set<KeyDigest> keys,
    int priority,
    double ratePerSecond,
    double burst,
    long defaultCallUnits) {

  /** The rank of an account whose calls have the rank of their route. */
  public static final int ROUTE_PRIORITY = -1;

  /** Copies the keys. */
  public AccountQuota {
    keys = Set.copyOf(keys);
  }

  /**
   * Tells whether the account has a limit.
   *
   * @return false if it may spend any number of units
   */
  public boolean isLimited() {
    return ratePerSecond > 0;
  }
}
