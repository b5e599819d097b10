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

/** A prefill engine that processes prompts one at a time in FIFO order, with a prefix cache. */
final class SimulatedPrefillEngine {

  private static final float LOAD_FACTOR = 0.75f;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final EndpointId id;
  private final EventQueue events;
  private final EngineParameters parameters;
  private final Consumer<CacheHint> cacheEventListener;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Map<Long, Boolean> prefixCache = new LinkedHashMap<>(16, LOAD_FACTOR, true);
  private Job runningJob;
  private boolean failed;

  private SimulatedPrefillEngine(
      EndpointId id,
      EventQueue events,
      EngineParameters parameters,
      Consumer<CacheHint> cacheEventListener) {
    this.id = id;
    this.events = events;
    this.parameters = parameters;
    this.cacheEventListener = cacheEventListener;
  }

  static SimulatedPrefillEngine of(
      EndpointId id,
      EventQueue events,
      EngineParameters parameters,
      Consumer<CacheHint> cacheEventListener) {
    return new SimulatedPrefillEngine(id, events, parameters, cacheEventListener);
  }

  /** Queues a prompt; reports the number of computed tokens, or the failure. */
  void prefill(
      RequestId request,
      int tokens,
      List<Long> blockHashes,
      IntConsumer onDone,
      Runnable onFailure) {
    if (failed) {
      onFailure.run();
      return;
    }
    queue.add(new Job(request, tokens, blockHashes, onDone, onFailure));
    startNext();
  }

  /** Removes a queued prompt; a prompt already being processed is completed. */
  void cancel(RequestId request) {
    queue.removeIf(job -> job.request().equals(request));
  }

  void fail() {
    failed = true;
    List<Job> jobs = new ArrayList<>(queue);
    if (runningJob != null) {
      jobs.add(0, runningJob);
    }
    runningJob = null;
    queue.clear();
    jobs.forEach(job -> job.onFailure().run());
  }

  boolean isFailed() {
    return failed;
  }

  EndpointLoad load(int totalPieces) {
    int queuedTokens = queue.stream().mapToInt(Job::tokens).sum();
    int runningTokens = runningJob == null ? 0 : runningJob.tokens();
    return new EndpointLoad(id, 0, totalPieces, queuedTokens + runningTokens, 0, List.of());
  }

  private void startNext() {
    if (runningJob != null || queue.isEmpty()) {
      return;
    }
    Job job = queue.poll();
    runningJob = job;
    int computedTokens =
        Math.max(1, job.tokens() - cachedBlocks(job.blockHashes()) * parameters.cacheBlockTokens());
    long micros = computedTokens * MICROS_PER_SECOND / parameters.prefillTokensPerSecond();
    events.scheduleAfter(micros, () -> complete(job, computedTokens));
  }

  private void complete(Job job, int computedTokens) {
    if (runningJob != job) {
      return;
    }
    runningJob = null;
    cacheBlocks(job.blockHashes());
    startNext();
    job.onDone().accept(computedTokens);
  }

  private int cachedBlocks(List<Long> blockHashes) {
    int blocks = 0;
    while (blocks < blockHashes.size() && prefixCache.containsKey(blockHashes.get(blocks))) {
      blocks++;
    }
    return blocks;
  }

  private void cacheBlocks(List<Long> blockHashes) {
    for (Long hash : blockHashes) {
      if (prefixCache.put(hash, true) == null) {
        cacheEventListener.accept(new CacheHint(id, hash, true));
      }
    }
    while (prefixCache.size() > parameters.cacheCapacityBlocks()) {
      Long eldest = prefixCache.keySet().iterator().next();
      prefixCache.remove(eldest);
      cacheEventListener.accept(new CacheHint(id, eldest, false));
    }
  }

  private record Job(
      RequestId request,
      int tokens,
      List<Long> blockHashes,
      IntConsumer onDone,
      Runnable onFailure) {}
}
