package org.knapweedcleat.core.limit;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.Revision;

/**
 * How full one owner's part of the buckets of a slot is.
 *
 * @param slot the slot
 * @param revision the document that the ratio belongs to, or none if the ratio is not to be used
 * @param ratio how full every bucket that is not listed is at least, from 0 to 1
 * @param balances the buckets that are less full
 */
public record SlotFill(int slot, Revision revision, double ratio, List<Balance> balances) {

  /** Copies the list. */
  public SlotFill {
    balances = List.copyOf(balances);
  }

  /**
   * The tokens in one bucket.
   *
   * @param account the client account
   * @param tokens the tokens
   * @param inFlightTokens tokens that were taken already and may still be granted
   */
  public record Balance(AccountId account, double tokens, double inFlightTokens) {}
}
