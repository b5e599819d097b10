package org.knapweedcleat.core.room;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/** Engines with limited memory, on the first of which with enough space a call is placed. */
final class FakeCapacity implements CapacityPlacer {

  private final List<EndpointEntry> engines = new ArrayList<>();
  private final Map<EndpointId, Long> usedTokens = new HashMap<>();
  private final long memoryTokens;

  FakeCapacity(int engineCount, long memoryTokens) {
    this.memoryTokens = memoryTokens;
    for (int i = 0; i < engineCount; i++) {
      engines.add(
          new EndpointEntry(
              EndpointId.of("e-" + i),
              1,
              ServiceId.of("notes"),
              "10.0.0.1",
              80,
              FailureDomainId.of("a"),
              EndpointStage.DECODE,
              48,
              false));
    }
  }

  int engineCount() {
    return engines.size();
  }

  @Override
  public Optional<StreamPlacement> place(
      QueuedCall call, double usableMemoryFraction, Set<EndpointId> avoided) {
    for (EndpointEntry engine : engines) {
      if (avoided.contains(engine.id())) {
        continue;
      }
      long used = usedTokens.getOrDefault(engine.id(), 0L) + call.memoryTokens();
      if (used <= memoryTokens * usableMemoryFraction) {
        usedTokens.put(engine.id(), used);
        return Optional.of(new StreamPlacement(Optional.empty(), engine, 200));
      }
    }
    return Optional.empty();
  }

  @Override
  public Optional<EndpointId> leastFilled(QueuedCall call, Set<EndpointId> avoided) {
    return engines.stream()
        .map(EndpointEntry::id)
        .filter(engine -> !avoided.contains(engine))
        .min(Comparator.comparingLong(engine -> usedTokens.getOrDefault(engine, 0L)));
  }

  void release(EndpointId engine, long tokens) {
    usedTokens.merge(engine, -tokens, Long::sum);
  }
}
