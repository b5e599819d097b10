package org.knapweedcleat.standins.engine;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Simulates continuous batching: each step sends one token to each stream in the batch, which is
 * filled by priority.
 */
final class DecodeBatch {

  private static final int MICROS_PER_MILLI = 1_000;

  private final Vertx vertx;
  private final EngineSettings settings;
  private final EngineCounters counters;
  private final Consumer<String> onFinished;
  private final List<DecodeStream> streams = new ArrayList<>();
  private boolean stepScheduled;
  private long stalledUntilMillis;
  private int slowFactor = 1;

  private DecodeBatch(
      Vertx vertx, EngineSettings settings, EngineCounters counters, Consumer<String> onFinished) {
    this.vertx = vertx;
    this.settings = settings;
    this.counters = counters;
    this.onFinished = onFinished;
  }

  static DecodeBatch of(
      Vertx vertx, EngineSettings settings, EngineCounters counters, Consumer<String> onFinished) {
    return new DecodeBatch(vertx, settings, counters, onFinished);
  }

  void add(DecodeStream stream) {
    abort(stream.request());
    streams.add(stream);
    scheduleStep();
  }

  void abort(String request) {
    abortIf(stream -> stream.request().equals(request));
  }

  void abortAll() {
    abortIf(stream -> true);
  }

  void stall(long millis) {
    stalledUntilMillis = System.currentTimeMillis() + millis;
  }

  void setSlowFactor(int factor) {
    slowFactor = factor;
  }

  int activeCount() {
    return Math.min(streams.size(), settings.maxBatch());
  }

  private void abortIf(Predicate<DecodeStream> condition) {
    List<DecodeStream> matching = streams.stream().filter(condition).toList();
    streams.removeAll(matching);
    matching.forEach(DecodeStream::abort);
  }

  private void scheduleStep() {
    if (stepScheduled || streams.isEmpty()) {
      return;
    }
    stepScheduled = true;
    vertx.setTimer(stepDelayMillis(), id -> step());
  }

  private long stepDelayMillis() {
    long micros =
        settings.baseGapMicros() + (long) settings.gapPerStreamMicros() * (activeCount() - 1);
    long stallMillis = stalledUntilMillis - System.currentTimeMillis();
    return Math.max(1, Math.max(stallMillis, micros * slowFactor / MICROS_PER_MILLI));
  }

  private void step() {
    stepScheduled = false;
    streams.removeIf(DecodeStream::closed);
    if (System.currentTimeMillis() >= stalledUntilMillis) {
      selectBatch().forEach(this::advance);
    }
    scheduleStep();
  }

  private List<DecodeStream> selectBatch() {
    return streams.stream()
        .sorted(Comparator.comparingInt(DecodeStream::priority).reversed())
        .limit(settings.maxBatch())
        .toList();
  }

  private void advance(DecodeStream stream) {
    if (!stream.finished()) {
      stream.sendNextToken();
      counters.recordTokenSent();
    }
    if (stream.finished()) {
      streams.remove(stream);
      onFinished.accept(stream.request());
      stream.sendEnd();
    }
  }
}
