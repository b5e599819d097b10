package org.knapweedcleat.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prefix blocks that an engine keeps; the least recently used go first. */
final class PrefixCache {

  private final int maxBlocks;
  private final int gapEvery;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Published> events = new ArrayList<>();
  private long lastNumber;

  private PrefixCache(int maxBlocks, int gapEvery) {
    this.maxBlocks = maxBlocks;
    this.gapEvery = gapEvery;
  }

  static PrefixCache of(int maxBlocks, int gapEvery) {
    return new PrefixCache(maxBlocks, gapEvery);
  }

  /** Counts the leading blocks that are present. */
  int leadingHits(List<Long> hashes) {
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

  Replies.CacheEvents eventsAfter(long after, long nowMillis) {
    List<Replies.CacheEvent> visible =
        events.stream()
            .filter(event -> event.visibleAtMillis() <= nowMillis)
            .map(Published::event)
            .filter(event -> event.number() > after)
            .toList();
    long next = visible.isEmpty() ? after : visible.get(visible.size() - 1).number();
    return new Replies.CacheEvents(next, visible);
  }

  private void publish(long hash, String kind, long visibleAtMillis) {
    lastNumber++;
    if (lastNumber % gapEvery == 0) {
      return;
    }
    events.add(new Published(visibleAtMillis, new Replies.CacheEvent(lastNumber, hash, kind)));
  }

  private record Published(long visibleAtMillis, Replies.CacheEvent event) {}
}
