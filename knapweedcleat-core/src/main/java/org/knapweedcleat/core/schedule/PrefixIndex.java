package org.knapweedcleat.core.schedule;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;

/** A best-effort LRU index of the prompt prefixes that endpoints probably have cached. */
final class PrefixIndex {

  private final Map<Long, Set<EndpointId>> endpointsByHash;

  private PrefixIndex(int capacity) {
    this.endpointsByHash = new LeastRecentlyUsed(capacity);
  }

  static PrefixIndex of(int capacity) {
    return new PrefixIndex(capacity);
  }

  /** Returns the number of leading blocks that the endpoint probably has cached. */
  int cachedBlocks(EndpointId endpoint, List<Long> hashes) {
    int blocks = 0;
    for (Long hash : hashes) {
      Set<EndpointId> endpoints = endpointsByHash.get(hash);
      if (endpoints == null || !endpoints.contains(endpoint)) {
        return blocks;
      }
      blocks++;
    }
    return blocks;
  }

  void addStored(EndpointId endpoint, List<Long> hashes) {
    for (Long hash : hashes) {
      endpointsByHash.computeIfAbsent(hash, key -> new HashSet<>()).add(endpoint);
    }
  }

  void removeEvicted(EndpointId endpoint, List<Long> hashes) {
    for (Long hash : hashes) {
      Set<EndpointId> endpoints = endpointsByHash.get(hash);
      if (endpoints != null && endpoints.remove(endpoint) && endpoints.isEmpty()) {
        endpointsByHash.remove(hash);
      }
    }
  }

  void removeEndpoint(EndpointId endpoint) {
    endpointsByHash.values().forEach(endpoints -> endpoints.remove(endpoint));
    endpointsByHash.values().removeIf(Set::isEmpty);
  }

  private static final class LeastRecentlyUsed extends LinkedHashMap<Long, Set<EndpointId>> {
    private static final long serialVersionUID = 1L;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    LeastRecentlyUsed(int capacity) {
      super(16, LOAD_FACTOR, true);
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Set<EndpointId>> eldest) {
      return size() > capacity;
    }
  }
}
