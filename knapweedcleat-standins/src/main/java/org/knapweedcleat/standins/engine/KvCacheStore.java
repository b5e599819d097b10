package org.knapweedcleat.standins.engine;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Stores the KV caches of finished prefills until they are fetched or evicted. */
final class KvCacheStore {

  private static final int TOKENS_PER_PIECE = 1_000;

  private final Vertx vertx;
  private final EngineSettings settings;
  private final EngineCounters counters;
  private final Map<String, Entry> entries = new HashMap<>();
  private long lastHandleNumber;

  private KvCacheStore(Vertx vertx, EngineSettings settings, EngineCounters counters) {
    this.vertx = vertx;
    this.settings = settings;
    this.counters = counters;
  }

  static KvCacheStore of(Vertx vertx, EngineSettings settings, EngineCounters counters) {
    return new KvCacheStore(vertx, settings, counters);
  }

  /** Stores a prefill's KV cache and returns its handle. */
  String put(PrefillJob job, int computedTokens) {
    lastHandleNumber++;
    String handle = settings.id() + "-" + lastHandleNumber;
    long seed = TokenGenerator.seed(job.call().prompt());
    entries.put(handle, new Entry(job.request(), seed, job.promptTokens(), computedTokens));
    vertx.setTimer(settings.evictMillis(), id -> discardUnused(handle));
    return handle;
  }

  /** Removes a KV cache and returns its bytes, which begin with the seed of the output. */
  Optional<Buffer> remove(String handle) {
    return Optional.ofNullable(entries.remove(handle))
        .map(
            entry ->
                Buffer.buffer()
                    .appendLong(entry.seed())
                    .appendBytes(new byte[kvBytes(entry.promptTokens())]));
  }

  int kvBytes(int promptTokens) {
    return promptTokens * settings.kvBytesPerToken();
  }

  boolean cancel(String request) {
    List<String> handles =
        entries.entrySet().stream()
            .filter(entry -> entry.getValue().request().equals(request))
            .map(Map.Entry::getKey)
            .toList();
    handles.forEach(this::discardUnused);
    return !handles.isEmpty();
  }

  void clear() {
    entries.clear();
  }

  int usedPieces() {
    return entries.values().stream()
        .mapToInt(entry -> (entry.promptTokens() + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE)
        .sum();
  }

  List<String> requests() {
    return entries.values().stream().map(Entry::request).toList();
  }

  private void discardUnused(String handle) {
    Entry entry = entries.remove(handle);
    if (entry != null) {
      counters.recordWastedPrefill(entry.computedTokens());
    }
  }

  private record Entry(String request, long seed, int promptTokens, int computedTokens) {}
}
