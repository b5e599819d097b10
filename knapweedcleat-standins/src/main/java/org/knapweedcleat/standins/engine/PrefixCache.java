package org.knapweedcleat.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An LRU cache of prefix blocks. It publishes an event for each change, with a delay, and drops
 * some events to simulate losses.
 */
final class PrefixCache {

  private final int maxBlocks;
  private final int droppedEventInterval;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<PublishedEvent> events = new ArrayList<>();
  private long lastEventNumber;

  private PrefixCache(int maxBlocks, int droppedEventInterval) {
    this.maxBlocks = maxBlocks;
    this.droppedEventInterval = droppedEventInterval;
  }

  static PrefixCache of(int maxBlocks, int droppedEventInterval) {
    return new PrefixCache(maxBlocks, droppedEventInterval);
  }

  /** Counts the leading blocks that are cached. */
  int countLeadingHits(List<Long> hashes) {
    int hits = 0;
    while (hits < hashes.size() && blocks.containsKey(hashes.get(hits))) {
      hits++;
    }
    return hits;
  }

  void store(List<Long> hashes, long visibleAtMillis) {
    for (Long hash : hashes) {
      if (blocks.put(hash, true) == null) {
        publish(hash, "STORED", visibleAtMillis);
      }
    }
    Iterator<Long> oldest = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      Long hash = oldest.next();
      oldest.remove();
      publish(hash, "EVICTED", visibleAtMillis);
    }
  }

  void clear() {
    blocks.clear();
    events.clear();
  }

  EngineResponses.CacheEvents eventsAfter(long after, long nowMillis) {
    List<EngineResponses.CacheEvent> visible =
        events.stream()
            .filter(event -> event.visibleAtMillis() <= nowMillis)
            .map(PublishedEvent::event)
            .filter(event -> event.number() > after)
            .toList();
    long next = visible.isEmpty() ? after : visible.get(visible.size() - 1).number();
    return new EngineResponses.CacheEvents(next, visible);
  }

  private void publish(long hash, String kind, long visibleAtMillis) {
    lastEventNumber++;
    if (lastEventNumber % droppedEventInterval == 0) {
      return;
    }
    events.add(
        new PublishedEvent(
            visibleAtMillis, new EngineResponses.CacheEvent(lastEventNumber, hash, kind)));
  }

  private record PublishedEvent(long visibleAtMillis, EngineResponses.CacheEvent event) {}
}
