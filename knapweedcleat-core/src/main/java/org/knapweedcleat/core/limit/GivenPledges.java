package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.IncarnationId;

/** To whom this instance has pledged its own share of each slot, and until when at the latest. */
final class GivenPledges {

  private final IncarnationId[] holders = new IncarnationId[Slots.COUNT];
  private final long[] untilMillis = new long[Slots.COUNT];
  private final long[] sequences = new long[Slots.COUNT];

  static GivenPledges empty() {
    return new GivenPledges();
  }

  boolean isGiven(int slot) {
    return holders[slot] != null;
  }

  boolean isHeldBy(int slot, IncarnationId holder) {
    return holder.equals(holders[slot]);
  }

  void give(int slot, IncarnationId holder, long sequence, long until) {
    holders[slot] = holder;
    sequences[slot] = sequence;
    untilMillis[slot] = Math.max(untilMillis[slot], until);
  }

  /**
   * Takes back the slots that a holder says it does not use, unless a newer pledge is under way.
   */
  long takeBack(IncarnationId holder, long slots, long acceptedSequence) {
    long taken = 0;
    for (int slot = 0; slot < Slots.COUNT; slot++) {
      boolean asked = Slots.contains(slots, slot) && sequences[slot] <= acceptedSequence;
      if (asked && isHeldBy(slot, holder)) {
        free(slot);
        taken |= Slots.bit(slot);
      }
    }
    return taken;
  }

  /** Takes back what has lapsed, and tells whether there was any. */
  boolean lapse(long nowMillis) {
    boolean any = false;
    for (int slot = 0; slot < Slots.COUNT; slot++) {
      if (isGiven(slot) && untilMillis[slot] <= nowMillis) {
        free(slot);
        any = true;
      }
    }
    return any;
  }

  private void free(int slot) {
    holders[slot] = null;
    untilMillis[slot] = Long.MIN_VALUE;
  }
}
