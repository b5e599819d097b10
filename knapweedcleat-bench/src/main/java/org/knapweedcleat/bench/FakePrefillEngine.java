package org.knapweedcleat.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.CacheHint;
import org.knapweedcleat.core.schedule.EndpointLoad;

/** A prefill engine: reads one prompt at a time, first come first served, with a prefix cache. */
final class FakePrefillEngine {

  private static final float LOAD_FACTOR = 0.75f;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final EndpointId id;
  private final EventQueue events;
  private final EngineSpeeds speeds;
  private final Consumer<CacheHint> cacheEvents;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, LOAD_FACTOR, true);
  private Job running;
  private boolean lost;

  private FakePrefillEngine(
      EndpointId id, EventQueue events, EngineSpeeds speeds, Consumer<CacheHint> cacheEvents) {
    this.id = id;
    this.events = events;
    this.speeds = speeds;
    this.cacheEvents = cacheEvents;
  }

  static FakePrefillEngine of(
      EndpointId id, EventQueue events, EngineSpeeds speeds, Consumer<CacheHint> cacheEvents) {
    return new FakePrefillEngine(id, events, speeds, cacheEvents);
  }

  /** Queues a prompt; calls back with the computed tokens, or with the failure. */
  void prefill(
      RequestId request, int tokens, List<Long> hashes, IntConsumer done, Runnable failed) {
    if (lost) {
      failed.run();
      return;
    }
    queue.add(new Job(request, tokens, hashes, done, failed));
    startNext();
  }

  /** Takes a prompt out of the queue; one that is being read is finished. */
  void cancel(RequestId request) {
    queue.removeIf(job -> job.request().equals(request));
  }

  void lose() {
    lost = true;
    List<Job> jobs = new ArrayList<>(queue);
    if (running != null) {
      jobs.add(0, running);
    }
    running = null;
    queue.clear();
    jobs.forEach(job -> job.failed().run());
  }

  boolean isLost() {
    return lost;
  }

  EndpointLoad load(int totalPieces) {
    int queued = queue.stream().mapToInt(Job::tokens).sum();
    int reading = running == null ? 0 : running.tokens();
    return new EndpointLoad(id, 0, totalPieces, queued + reading, 0, List.of());
  }

  private void startNext() {
    if (running != null || queue.isEmpty()) {
      return;
    }
    Job job = queue.poll();
    running = job;
    int computed = Math.max(1, job.tokens() - cachedBlocks(job.hashes()) * speeds.blockTokens());
    long micros = computed * MICROS_PER_SECOND / speeds.prefillTokensPerSecond();
    events.after(micros, () -> complete(job, computed));
  }

  private void complete(Job job, int computed) {
    if (running != job) {
      return;
    }
    running = null;
    store(job.hashes());
    startNext();
    job.done().accept(computed);
  }

  private int cachedBlocks(List<Long> hashes) {
    int blocks = 0;
    while (blocks < hashes.size() && cache.containsKey(hashes.get(blocks))) {
      blocks++;
    }
    return blocks;
  }

  private void store(List<Long> hashes) {
    for (Long hash : hashes) {
      if (cache.put(hash, true) == null) {
        cacheEvents.accept(new CacheHint(id, hash, true));
      }
    }
    while (cache.size() > speeds.cacheBlocks()) {
      Long eldest = cache.keySet().iterator().next();
      cache.remove(eldest);
      cacheEvents.accept(new CacheHint(id, eldest, false));
    }
  }

  private record Job(
      RequestId request, int tokens, List<Long> hashes, IntConsumer done, Runnable failed) {}
}
