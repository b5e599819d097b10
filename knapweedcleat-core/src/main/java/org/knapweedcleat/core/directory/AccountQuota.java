package org.knapweedcleat.core.directory;

import java.util.Set;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.RegionId;

/**
 * A client account with its keys and its fleet-wide quota.
 *
 * @param account the account
 * @param keys the digests of its keys
 * @param priority the priority of its calls, which overrides that of their route; 0 is the most
 *     urgent, {@link #ROUTE_PRIORITY} keeps that of the route
 * @param ratePerSecond the units it may spend per second; 0 for no limit
 * @param burst the units that can accumulate
 * @param defaultCallUnits the units charged for a call that does not state its token usage
 * @param allowedRegions the regions in which its calls may be served; empty for any
 */
public record AccountQuota(
    AccountId account,
    Set<KeyDigest> keys,
    int priority,
    double ratePerSecond,
    double burst,
    long defaultCallUnits,
    Set<RegionId> allowedRegions) {

  /** The priority of an account whose calls have the priority of their route. */
  public static final int ROUTE_PRIORITY = -1;

  /** Copies the collections. */
  public AccountQuota {
    keys = Set.copyOf(keys);
    allowedRegions = Set.copyOf(allowedRegions);
  }

  /**
   * Returns whether the account has a limit.
   *
   * @return false if it may spend any number of units
   */
  public boolean isLimited() {
    return ratePerSecond > 0;
  }
}
