package org.knapweedcleat.core.limit;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.Revision;

/**
 * The fill levels of one owner's share of the buckets in a slot.
 *
 * @param slot the slot
 * @param revision the document revision to which the ratio applies, or none to ignore the ratio
 * @param ratio the minimum fill level of the unlisted buckets, from 0 to 1
 * @param balances the balances of the other buckets
 */
public record SlotFill(int slot, Revision revision, double ratio, List<Balance> balances) {

  /** Copies the list. */
  public SlotFill {
    balances = List.copyOf(balances);
  }

  /**
   * One owner's tokens in one bucket.
   *
   * @param account the client account
   * @param tokens the tokens
   * @param inFlightTokens the tokens that were taken but may still be granted
   */
  public record Balance(AccountId account, double tokens, double inFlightTokens) {}
}
