package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.IncarnationId;

/** The pledges of this instance's own share of each slot, with their holders and expiry times. */
final class IssuedPledges {

  private final IncarnationId[] holders = new IncarnationId[AccountSlots.COUNT];
  private final long[] untilMillis = new long[AccountSlots.COUNT];
  private final long[] sequences = new long[AccountSlots.COUNT];

  static IssuedPledges empty() {
    return new IssuedPledges();
  }

  boolean isIssued(int slot) {
    return holders[slot] != null;
  }

  boolean isHeldBy(int slot, IncarnationId holder) {
    return holder.equals(holders[slot]);
  }

  void issue(int slot, IncarnationId holder, long sequence, long until) {
    holders[slot] = holder;
    sequences[slot] = sequence;
    untilMillis[slot] = Math.max(untilMillis[slot], until);
  }

  /** Reclaims slots that a holder reports as unused, unless it has not yet seen a newer pledge. */
  long reclaim(IncarnationId holder, long slots, long acceptedSequence) {
    long reclaimed = 0;
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      boolean eligible = AccountSlots.contains(slots, slot) && sequences[slot] <= acceptedSequence;
      if (eligible && isHeldBy(slot, holder)) {
        free(slot);
        reclaimed |= AccountSlots.bit(slot);
      }
    }
    return reclaimed;
  }

  /** Reclaims expired pledges and returns whether there were any. */
  boolean expire(long nowMillis) {
    boolean expired = false;
    for (int slot = 0; slot < AccountSlots.COUNT; slot++) {
      if (isIssued(slot) && untilMillis[slot] <= nowMillis) {
        free(slot);
        expired = true;
      }
    }
    return expired;
  }

  private void free(int slot) {
    holders[slot] = null;
    untilMillis[slot] = Long.MIN_VALUE;
  }
}
