package org.knapweedcleat.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.ServiceId;

/** The four measures of a run and the counts behind them. */
final class Figures {

  private static final int HISTOGRAM_DIGITS = 3;
  private static final double QUANTILE = 95;

  private final Outcomes outcomes;

  private Figures(Outcomes outcomes) {
    this.outcomes = outcomes;
  }

  static Figures of(Outcomes outcomes) {
    return new Figures(outcomes);
  }

  Outcomes outcomes() {
    return outcomes;
  }

  /** Returns the requests a second that were inside both targets. */
  double goodput() {
    return (double) count(Verdict.GOOD) / Workload.DURATION_SECONDS;
  }

  /** Returns the same for the requests that arrived at the peak. */
  double peakGoodput() {
    long good =
        outcomes.all().stream()
            .filter(outcome -> outcome.verdict() == Verdict.GOOD)
            .filter(outcome -> Workload.isPeak(outcome.arrival().atMicros()))
            .count();
    return good / Workload.PEAK_SECONDS;
  }

  long count(Verdict verdict) {
    return outcomes.all().stream().filter(outcome -> outcome.verdict() == verdict).count();
  }

  /** Counts the requests that were refused although they were inside their rate. */
  long refusedInsideRate() {
    return refusedInsideRate(Verdict.REFUSED_OVER_RATE)
        + refusedInsideRate(Verdict.REFUSED_CAPACITY);
  }

  long refusedInsideRate(Verdict verdict) {
    return outcomes.all().stream()
        .filter(outcome -> outcome.arrival().insideRate() && outcome.verdict() == verdict)
        .count();
  }

  long insideRate() {
    return outcomes.all().stream().filter(outcome -> outcome.arrival().insideRate()).count();
  }

  /** Returns the share of the requests inside the rate that were good, for each account. */
  Map<AccountId, Double> goodShares() {
    return outcomes.all().stream()
        .filter(outcome -> outcome.arrival().insideRate())
        .collect(
            Collectors.groupingBy(
                outcome -> outcome.arrival().account(),
                TreeMap::new,
                Collectors.averagingDouble(outcome -> outcome.verdict() == Verdict.GOOD ? 1 : 0)));
  }

  double worstGoodShare() {
    return goodShares().values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
  }

  Map<ServiceId, List<Outcomes.Outcome>> byService() {
    return outcomes.all().stream()
        .collect(
            Collectors.groupingBy(
                outcome -> outcome.arrival().service().id(),
                () -> new TreeMap<>((one, other) -> one.value().compareTo(other.value())),
                Collectors.toList()));
  }

  /** Returns the share of the admitted requests of a service that were inside both targets. */
  static double goodShareOfAdmitted(List<Outcomes.Outcome> ofService) {
    return ofService.stream()
        .filter(outcome -> !outcome.verdict().isRefused())
        .mapToDouble(outcome -> outcome.verdict() == Verdict.GOOD ? 1 : 0)
        .average()
        .orElse(0);
  }

  static double highFirstTokenMillis(List<Outcomes.Outcome> ofService) {
    return quantile(ofService, Outcomes.Outcome::firstTokenMillis);
  }

  static double highGapMillis(List<Outcomes.Outcome> ofService) {
    return quantile(ofService, Outcomes.Outcome::gapMillis);
  }

  private static double quantile(
      List<Outcomes.Outcome> ofService, Function<Outcomes.Outcome, Double> measure) {
    Histogram micros = new Histogram(HISTOGRAM_DIGITS);
    ofService.stream()
        .filter(outcome -> outcome.verdict().isServed())
        .forEach(outcome -> micros.recordValue(Math.round(measure.apply(outcome) * 1_000)));
    return micros.getValueAtPercentile(QUANTILE) / 1_000.0;
  }
}
