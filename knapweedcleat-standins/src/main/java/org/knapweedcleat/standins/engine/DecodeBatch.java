package org.knapweedcleat.standins.engine;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Continuous batching: each step sends one token to each running stream. */
final class DecodeBatch {

  private static final int MICROS_PER_MILLI = 1_000;

  private final Vertx vertx;
  private final EngineSettings settings;
  private final EngineCounts counts;
  private final Consumer<String> onFinished;
  private final List<DecodeStream> streams = new ArrayList<>();
  private boolean scheduled;
  private long stalledUntilMillis;
  private int slowFactor = 1;

  private DecodeBatch(
      Vertx vertx, EngineSettings settings, EngineCounts counts, Consumer<String> onFinished) {
    this.vertx = vertx;
    this.settings = settings;
    this.counts = counts;
    this.onFinished = onFinished;
  }

  static DecodeBatch of(
      Vertx vertx, EngineSettings settings, EngineCounts counts, Consumer<String> onFinished) {
    return new DecodeBatch(vertx, settings, counts, onFinished);
  }

  void add(DecodeStream stream) {
    cut(stream.request());
    streams.add(stream);
    schedule();
  }

  void cut(String request) {
    cutIf(stream -> stream.request().equals(request));
  }

  void cutAll() {
    cutIf(stream -> true);
  }

  void stall(long millis) {
    stalledUntilMillis = System.currentTimeMillis() + millis;
  }

  void slow(int factor) {
    slowFactor = factor;
  }

  int running() {
    return Math.min(streams.size(), settings.maxBatch());
  }

  private void cutIf(Predicate<DecodeStream> condition) {
    List<DecodeStream> chosen = streams.stream().filter(condition).toList();
    streams.removeAll(chosen);
    chosen.forEach(DecodeStream::cut);
  }

  private void schedule() {
    if (scheduled || streams.isEmpty()) {
      return;
    }
    scheduled = true;
    vertx.setTimer(nextStepMillis(), id -> step());
  }

  private long nextStepMillis() {
    long micros = settings.baseGapMicros() + (long) settings.gapPerStreamMicros() * (running() - 1);
    long stall = stalledUntilMillis - System.currentTimeMillis();
    return Math.max(1, Math.max(stall, micros * slowFactor / MICROS_PER_MILLI));
  }

  private void step() {
    scheduled = false;
    streams.removeIf(DecodeStream::closed);
    if (System.currentTimeMillis() >= stalledUntilMillis) {
      batch().forEach(this::advance);
    }
    schedule();
  }

  private List<DecodeStream> batch() {
    return streams.stream()
        .sorted(Comparator.comparingInt(DecodeStream::priority).reversed())
        .limit(settings.maxBatch())
        .toList();
  }

  private void advance(DecodeStream stream) {
    if (!stream.finished()) {
      stream.sendToken();
      counts.tokenSent();
    }
    if (stream.finished()) {
      streams.remove(stream);
      onFinished.accept(stream.request());
      stream.end();
    }
  }
}
