package org.knapweedcleat.standins.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Aggregates the outcomes and latencies of a load run. */
final class LoadStatistics {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private final Histogram firstTokenMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram tokenGapMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<String, Integer> errors = new TreeMap<>();
  private int sent;
  private int complete;
  private int corrupted;
  private int truncated;
  private int skipped;

  private LoadStatistics() {}

  static LoadStatistics create() {
    return new LoadStatistics();
  }

  void recordSkipped() {
    skipped++;
  }

  void record(StreamedResponse response, long sentNanos) {
    sent++;
    recordTimes(response.tokenNanos(), sentNanos);
    if (response.isComplete()) {
      complete++;
    } else if (response.wrongTokens() > 0) {
      corrupted++;
    } else if (response.error() != null) {
      errors.merge(response.error().error(), 1, Integer::sum);
    } else {
      truncated++;
    }
  }

  int processed() {
    return sent + skipped;
  }

  Totals totals() {
    return new Totals(
        sent,
        complete,
        corrupted,
        truncated,
        skipped,
        errors,
        Percentiles.of(firstTokenMicros),
        Percentiles.of(tokenGapMicros));
  }

  private void recordTimes(List<Long> tokenNanos, long sentNanos) {
    if (tokenNanos.isEmpty()) {
      return;
    }
    firstTokenMicros.recordValue(micros(tokenNanos.get(0) - sentNanos));
    for (int i = 1; i < tokenNanos.size(); i++) {
      tokenGapMicros.recordValue(micros(tokenNanos.get(i) - tokenNanos.get(i - 1)));
    }
  }

  private static long micros(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(nanos);
  }

  record Totals(
      int sent,
      int whole,
      int wrong,
      int cut,
      int skipped,
      Map<String, Integer> errors,
      Percentiles firstTokenMillis,
      Percentiles tokenGapMillis) {}

  record Percentiles(double p50, double p95, double p99, double max) {

    static Percentiles of(Histogram micros) {
      return new Percentiles(at(micros, 50), at(micros, 95), at(micros, 99), at(micros, 100));
    }

    private static double at(Histogram micros, double percentile) {
      return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
  }
}
