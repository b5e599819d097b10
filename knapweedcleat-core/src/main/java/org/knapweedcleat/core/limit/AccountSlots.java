package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.membership.RendezvousHash;

/** Maps client accounts to a fixed number of slots, each with one home. */
final class AccountSlots {

  /** The number of slots, so that a set of slots fits into the bits of a long. */
  static final int COUNT = 64;

  private AccountSlots() {}

  static int of(AccountId account) {
    return (int) Long.remainderUnsigned(RendezvousHash.weight("slot", account.value()), COUNT);
  }

  static String name(int slot) {
    return "limit-slot/" + slot;
  }

  static long bit(int slot) {
    return 1L << slot;
  }

  static boolean contains(long slots, int slot) {
    return (slots & bit(slot)) != 0;
  }
}
