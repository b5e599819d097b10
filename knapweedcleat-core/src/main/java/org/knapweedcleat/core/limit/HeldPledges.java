package org.knapweedcleat.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.IncarnationId;

/** The pledges that this instance holds as a home; a lapsed one is removed before any use. */
final class HeldPledges {

  /** What one peer has pledged. */
  private record Held(long sequence, long slots, double fraction, long untilMillis) {}

  private final Map<IncarnationId, Held> pledges = new HashMap<>();

  static HeldPledges empty() {
    return new HeldPledges();
  }

  /** Takes a pledge unless it is lapsed or a newer one came first. */
  boolean accept(long nowMillis, IncarnationId from, LimitMessage.Pledge pledge, long untilMillis) {
    if (untilMillis <= nowMillis || pledge.sequence() <= sequence(from)) {
      return false;
    }
    pledges.put(from, new Held(pledge.sequence(), pledge.slots(), pledge.fraction(), untilMillis));
    return true;
  }

  /** Drops slots that go back to a peer. */
  void drop(IncarnationId from, long slots) {
    pledges.computeIfPresent(
        from,
        (peer, held) ->
            new Held(held.sequence(), held.slots() & ~slots, held.fraction(), held.untilMillis()));
  }

  /** Returns when the next pledge lapses, or the greatest number if none is held. */
  long nextExpiryMillis() {
    return pledges.values().stream()
        .filter(held -> held.slots() != 0)
        .mapToLong(Held::untilMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Empties the pledges that lapse by the given time; their sequence numbers stay known. */
  void expire(long atMillis) {
    pledges.replaceAll(
        (peer, held) ->
            held.untilMillis() <= atMillis
                ? new Held(held.sequence(), 0, held.fraction(), held.untilMillis())
                : held);
  }

  /** Forgets peers whose pledges have lapsed long ago. */
  void prune(long beforeMillis) {
    pledges.values().removeIf(held -> held.untilMillis() < beforeMillis);
  }

  double fraction(int slot) {
    double sum = 0;
    for (Held held : pledges.values()) {
      if (AccountSlots.contains(held.slots(), slot)) {
        sum += held.fraction();
      }
    }
    return sum;
  }

  double fractionOf(IncarnationId from) {
    Held held = pledges.get(from);
    return held == null ? 0 : held.fraction();
  }

  long slots(IncarnationId from) {
    Held held = pledges.get(from);
    return held == null ? 0 : held.slots();
  }

  long sequence(IncarnationId from) {
    Held held = pledges.get(from);
    return held == null ? 0 : held.sequence();
  }

  List<IncarnationId> peers() {
    return List.copyOf(pledges.keySet());
  }
}
