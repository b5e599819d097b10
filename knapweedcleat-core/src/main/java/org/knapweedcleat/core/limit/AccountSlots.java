package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.membership.RendezvousHash;

/** Divides the client accounts over a fixed number of slots; a slot has one home. */
final class AccountSlots {

  /** How many slots there are; a set of them fits into the bits of a long. */
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
