package org.knapweedcleat.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.ServiceId;

/** Derives goodput, refusals, latencies and shares per account from the outcomes of a run. */
final class RunStatistics {

  private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
  private static final double HIGH_PERCENTILE = 95;

  private final OutcomeRecorder outcomes;

  private RunStatistics(OutcomeRecorder outcomes) {
    this.outcomes = outcomes;
  }

  static RunStatistics of(OutcomeRecorder outcomes) {
    return new RunStatistics(outcomes);
  }

  OutcomeRecorder outcomes() {
    return outcomes;
  }

  /** Returns the requests per second that met both latency targets. */
  double goodput() {
    return (double) countWithStatus(OutcomeStatus.GOOD) / WorkloadGenerator.DURATION_SECONDS;
  }

  /** Returns the goodput of the requests that arrived at the peak. */
  double peakGoodput() {
    long good =
        outcomes.all().stream()
            .filter(outcome -> outcome.status() == OutcomeStatus.GOOD)
            .filter(outcome -> WorkloadGenerator.isPeak(outcome.arrival().atMicros()))
            .count();
    return good / WorkloadGenerator.PEAK_SECONDS;
  }

  long countWithStatus(OutcomeStatus verdict) {
    return outcomes.all().stream().filter(outcome -> outcome.status() == verdict).count();
  }

  /** Returns the number of requests refused although their account was within its rate. */
  long refusedWithinRate() {
    return refusedWithinRate(OutcomeStatus.REFUSED_OVER_RATE)
        + refusedWithinRate(OutcomeStatus.REFUSED_CAPACITY);
  }

  long refusedWithinRate(OutcomeStatus verdict) {
    return outcomes.all().stream()
        .filter(outcome -> outcome.arrival().withinRate() && outcome.status() == verdict)
        .count();
  }

  long withinRate() {
    return outcomes.all().stream().filter(outcome -> outcome.arrival().withinRate()).count();
  }

  /** Returns, for each account, the share of its requests within the rate that met both targets. */
  Map<AccountId, Double> goodShareByAccount() {
    return outcomes.all().stream()
        .filter(outcome -> outcome.arrival().withinRate())
        .collect(
            Collectors.groupingBy(
                outcome -> outcome.arrival().account(),
                TreeMap::new,
                Collectors.averagingDouble(
                    outcome -> outcome.status() == OutcomeStatus.GOOD ? 1 : 0)));
  }

  double lowestGoodShare() {
    return goodShareByAccount().values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
  }

  Map<ServiceId, List<OutcomeRecorder.Outcome>> outcomesByService() {
    return outcomes.all().stream()
        .collect(
            Collectors.groupingBy(
                outcome -> outcome.arrival().service().id(),
                () -> new TreeMap<>((one, other) -> one.value().compareTo(other.value())),
                Collectors.toList()));
  }

  /** Returns the share of the admitted requests that met both latency targets. */
  static double goodShareOfAdmitted(List<OutcomeRecorder.Outcome> outcomes) {
    return outcomes.stream()
        .filter(outcome -> !outcome.status().isRefused())
        .mapToDouble(outcome -> outcome.status() == OutcomeStatus.GOOD ? 1 : 0)
        .average()
        .orElse(0);
  }

  static double firstTokenP95Millis(List<OutcomeRecorder.Outcome> outcomes) {
    return highPercentileMillis(outcomes, OutcomeRecorder.Outcome::firstTokenMillis);
  }

  static double tokenGapP95Millis(List<OutcomeRecorder.Outcome> outcomes) {
    return highPercentileMillis(outcomes, OutcomeRecorder.Outcome::tokenGapMillis);
  }

  private static double highPercentileMillis(
      List<OutcomeRecorder.Outcome> outcomes, Function<OutcomeRecorder.Outcome, Double> metric) {
    Histogram histogramMicros = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
    outcomes.stream()
        .filter(outcome -> outcome.status().isServed())
        .forEach(outcome -> histogramMicros.recordValue(Math.round(metric.apply(outcome) * 1_000)));
    return histogramMicros.getValueAtPercentile(HIGH_PERCENTILE) / 1_000.0;
  }
}
