package org.knapweedcleat.standins.engine;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.knapweedcleat.standins.fault.ResponseSender;

/** Runs one prefill at a time, highest priority first. */
final class PrefillQueue {

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int MAX_QUEUED_TOKENS = 200_000;
  private static final int CANCELLED_STATUS = 410;

  private final Vertx vertx;
  private final EngineSettings settings;
  private final PrefixCache cache;
  private final BiConsumer<PrefillJob, Integer> onFinished;
  private final List<PrefillJob> queuedJobs = new ArrayList<>();
  private Optional<PrefillJob> running = Optional.empty();
  private long stalledUntilMillis;
  private int slowFactor = 1;

  private PrefillQueue(
      Vertx vertx,
      EngineSettings settings,
      PrefixCache cache,
      BiConsumer<PrefillJob, Integer> onFinished) {
    this.vertx = vertx;
    this.settings = settings;
    this.cache = cache;
    this.onFinished = onFinished;
  }

  static PrefillQueue of(
      Vertx vertx,
      EngineSettings settings,
      PrefixCache cache,
      BiConsumer<PrefillJob, Integer> onFinished) {
    return new PrefillQueue(vertx, settings, cache, onFinished);
  }

  /** Queues a prefill; returns false if the queue is full. */
  boolean add(PrefillJob job) {
    if (queuedTokens() > MAX_QUEUED_TOKENS) {
      return false;
    }
    queuedJobs.add(job);
    startNext();
    return true;
  }

  boolean cancel(String request) {
    List<PrefillJob> matching =
        queuedJobs.stream().filter(job -> job.request().equals(request)).toList();
    queuedJobs.removeAll(matching);
    matching.forEach(job -> ResponseSender.sendError(job.context(), CANCELLED_STATUS, "CANCELLED"));
    boolean stopped = running.filter(job -> job.request().equals(request)).isPresent();
    if (stopped) {
      ResponseSender.sendError(running.get().context(), CANCELLED_STATUS, "CANCELLED");
      running = Optional.empty();
      startNext();
    }
    return stopped || !matching.isEmpty();
  }

  void clear() {
    queuedJobs.forEach(job -> job.context().request().connection().close());
    running.ifPresent(job -> job.context().request().connection().close());
    queuedJobs.clear();
    running = Optional.empty();
  }

  void stall(long millis) {
    stalledUntilMillis = System.currentTimeMillis() + millis;
  }

  void setSlowFactor(int factor) {
    slowFactor = factor;
  }

  int queuedTokens() {
    int queued = queuedJobs.stream().mapToInt(PrefillJob::promptTokens).sum();
    return queued + running.map(PrefillJob::promptTokens).orElse(0);
  }

  List<String> requests() {
    List<String> requests = new ArrayList<>(queuedJobs.stream().map(PrefillJob::request).toList());
    running.ifPresent(job -> requests.add(job.request()));
    return requests;
  }

  private void startNext() {
    if (running.isPresent() || queuedJobs.isEmpty()) {
      return;
    }
    PrefillJob job =
        queuedJobs.stream().max(Comparator.comparingInt(PrefillJob::priority)).orElseThrow();
    queuedJobs.remove(job);
    running = Optional.of(job);
    int computedTokens = computedTokens(job);
    long millis = (long) computedTokens * MILLIS_PER_SECOND / settings.prefillTokensPerSecond();
    long stallMillis = Math.max(0, stalledUntilMillis - System.currentTimeMillis());
    vertx.setTimer(
        Math.max(1, millis * slowFactor + stallMillis), id -> finish(job, computedTokens));
  }

  /**
   * Counts the uncached tokens, assuming that each prefix hash covers an equal part of the prompt.
   */
  private int computedTokens(PrefillJob job) {
    List<Long> hashes = job.call().prefixHashesOrEmpty();
    if (hashes.isEmpty()) {
      return job.promptTokens();
    }
    int uncachedBlocks = hashes.size() - cache.countLeadingHits(hashes);
    return (int) Math.max(1, (long) job.promptTokens() * uncachedBlocks / hashes.size());
  }

  private void finish(PrefillJob job, int computedTokens) {
    if (running.filter(present -> present == job).isEmpty()) {
      return;
    }
    running = Optional.empty();
    cache.store(
        job.call().prefixHashesOrEmpty(), System.currentTimeMillis() + settings.cacheLagMillis());
    onFinished.accept(job, computedTokens);
    startNext();
  }
}
