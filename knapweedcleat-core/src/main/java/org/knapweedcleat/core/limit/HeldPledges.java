package org.knapweedcleat.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.IncarnationId;

/** The pledges that this instance holds as a home; expired ones are removed before any use. */
final class HeldPledges {

  /** The current pledge of one peer. */
  private record Held(long sequence, long slots, double fraction, long untilMillis) {}

  private final Map<IncarnationId, Held> pledges = new HashMap<>();

  static HeldPledges empty() {
    return new HeldPledges();
  }

  /** Accepts a pledge unless it has expired or is not newer than the last one. */
  boolean accept(long nowMillis, IncarnationId from, LimitMessage.Pledge pledge, long untilMillis) {
    if (untilMillis <= nowMillis || pledge.sequence() <= sequence(from)) {
      return false;
    }
    pledges.put(from, new Held(pledge.sequence(), pledge.slots(), pledge.fraction(), untilMillis));
    return true;
  }

  /** Removes slots that are returned to a peer. */
  void drop(IncarnationId from, long slots) {
    pledges.computeIfPresent(
        from,
        (peer, held) ->
            new Held(held.sequence(), held.slots() & ~slots, held.fraction(), held.untilMillis()));
  }

  /** Returns the time of the next expiry, or {@link Long#MAX_VALUE} if no pledge is held. */
  long nextExpiryMillis() {
    return pledges.values().stream()
        .filter(held -> held.slots() != 0)
        .mapToLong(Held::untilMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Clears the slots of pledges that expire by the given time, but keeps the sequence numbers. */
  void expire(long atMillis) {
    pledges.replaceAll(
        (peer, held) ->
            held.untilMillis() <= atMillis
                ? new Held(held.sequence(), 0, held.fraction(), held.untilMillis())
                : held);
  }

  /** Removes pledges that expired before the given time. */
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
