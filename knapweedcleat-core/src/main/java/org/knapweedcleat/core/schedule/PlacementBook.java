package org.knapweedcleat.core.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.ScheduleAction.Decide;

/** Remembers the decisions made and the placements that are not over. */
final class PlacementBook {

  private final long memoryMillis;
  private final Map<RequestId, Placement> live = new HashMap<>();
  private final Map<AttemptKey, Remembered> decisions = new LinkedHashMap<>();

  private PlacementBook(long memoryMillis) {
    this.memoryMillis = memoryMillis;
  }

  static PlacementBook of(long memoryMillis) {
    return new PlacementBook(memoryMillis);
  }

  Decide remember(long now, Decide decide) {
    PlacementDecision decision = decide.decision();
    decisions.put(
        new AttemptKey(decision.request(), decision.attempt()), new Remembered(now, decide));
    return decide;
  }

  Optional<Decide> decided(AttemptKey key) {
    return Optional.ofNullable(decisions.get(key)).map(Remembered::decide);
  }

  void open(Placement placement) {
    live.put(placement.request(), placement);
  }

  void close(Placement placement) {
    live.remove(placement.request(), placement);
  }

  /** Returns the placement of a request that is not over, whichever its attempt; or null. */
  Placement live(RequestId request) {
    return live.get(request);
  }

  /** Returns the placement of an attempt if it is not over; or null. */
  Placement live(AttemptKey key) {
    Placement placement = live.get(key.request());
    return placement != null && placement.waiting().key().equals(key) ? placement : null;
  }

  Collection<Placement> live() {
    return live.values();
  }

  List<Placement> live(Predicate<Placement> condition) {
    return live.values().stream()
        .filter(condition)
        .sorted((one, other) -> one.request().compareTo(other.request()))
        .toList();
  }

  /** Forgets decisions whose time is over, but for those of placements that are not over. */
  void prune(long now) {
    Iterator<Map.Entry<AttemptKey, Remembered>> oldestFirst = decisions.entrySet().iterator();
    while (oldestFirst.hasNext()) {
      Map.Entry<AttemptKey, Remembered> entry = oldestFirst.next();
      if (now - entry.getValue().atMillis() <= memoryMillis) {
        return;
      }
      if (live(entry.getKey()) == null) {
        oldestFirst.remove();
      }
    }
  }

  private record Remembered(long atMillis, Decide decide) {}
}
