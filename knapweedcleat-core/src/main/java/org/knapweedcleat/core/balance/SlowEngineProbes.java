package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Sends an occasional stream to a slow engine that would get none because others are faster, to see
 * whether it has recovered.
 */
final class SlowEngineProbes {

  /** Three observations within the lifetime of an estimate, so that it does not expire. */
  private static final long INTERVAL_MILLIS = 3_000;

  /** Bounds the part of a service's streams that are slowed down by it to one in this many. */
  private static final int PLACEMENTS_PER_PROBE = 20;

  private final EngineSpeeds speeds;
  private final Map<EndpointId, Long> placedAtMillis = new HashMap<>();
  private final Map<ServiceId, Integer> placements = new HashMap<>();

  SlowEngineProbes(EngineSpeeds speeds) {
    this.speeds = speeds;
  }

  /** Returns a slow engine that is due for a stream; empty if none is. */
  Optional<EndpointEntry> due(long nowMillis, List<EndpointEntry> candidates) {
    if (candidates.size() < 2
        || placements.getOrDefault(candidates.get(0).service(), 0) < PLACEMENTS_PER_PROBE) {
      return Optional.empty();
    }
    return candidates.stream()
        .filter(engine -> speeds.isSlow(nowMillis, engine))
        .filter(engine -> isDue(nowMillis, engine.id()))
        .findFirst();
  }

  private boolean isDue(long nowMillis, EndpointId engine) {
    Long lastMillis = placedAtMillis.get(engine);
    return lastMillis == null || nowMillis - lastMillis >= INTERVAL_MILLIS;
  }

  void recordPlacement(long nowMillis, StreamPlacement placement) {
    placements.merge(placement.decode().service(), 1, Integer::sum);
    recordEngine(nowMillis, placement.decode());
    placement.prefill().ifPresent(engine -> recordEngine(nowMillis, engine));
    placedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis >= INTERVAL_MILLIS);
  }

  private void recordEngine(long nowMillis, EndpointEntry engine) {
    if (speeds.isSlow(nowMillis, engine)) {
      placedAtMillis.put(engine.id(), nowMillis);
      placements.put(engine.service(), 0);
    }
  }
}
