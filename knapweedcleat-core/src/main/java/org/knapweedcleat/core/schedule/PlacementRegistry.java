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
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/** Stores active placements and recent decisions, so that repeated requests get the same one. */
final class PlacementRegistry {

  private final long retentionMillis;
  private final Map<RequestId, Placement> active = new HashMap<>();
  private final Map<AttemptKey, RecordedDecision> decisions = new LinkedHashMap<>();

  private PlacementRegistry(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  static PlacementRegistry of(long retentionMillis) {
    return new PlacementRegistry(retentionMillis);
  }

  SendDecision recordDecision(long now, SendDecision decide) {
    PlacementDecision decision = decide.decision();
    decisions.put(
        new AttemptKey(decision.request(), decision.attempt()), new RecordedDecision(now, decide));
    return decide;
  }

  Optional<SendDecision> findDecision(AttemptKey key) {
    return Optional.ofNullable(decisions.get(key)).map(RecordedDecision::decide);
  }

  void add(Placement placement) {
    active.put(placement.request(), placement);
  }

  void remove(Placement placement) {
    active.remove(placement.request(), placement);
  }

  /** Returns the active placement of any attempt of a request, or null. */
  Placement active(RequestId request) {
    return active.get(request);
  }

  /** Returns the active placement of an attempt, or null. */
  Placement active(AttemptKey key) {
    Placement placement = active.get(key.request());
    return placement != null && placement.queued().key().equals(key) ? placement : null;
  }

  Collection<Placement> active() {
    return active.values();
  }

  List<Placement> active(Predicate<Placement> condition) {
    return active.values().stream()
        .filter(condition)
        .sorted((one, other) -> one.request().compareTo(other.request()))
        .toList();
  }

  /** Removes decisions past their retention period, except those of active placements. */
  void prune(long now) {
    Iterator<Map.Entry<AttemptKey, RecordedDecision>> oldestFirst = decisions.entrySet().iterator();
    while (oldestFirst.hasNext()) {
      Map.Entry<AttemptKey, RecordedDecision> entry = oldestFirst.next();
      if (now - entry.getValue().atMillis() <= retentionMillis) {
        return;
      }
      if (active(entry.getKey()) == null) {
        oldestFirst.remove();
      }
    }
  }

  private record RecordedDecision(long atMillis, SendDecision decide) {}
}
