package org.knapweedcleat.bench.pattern;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Collectors;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.HomeDomainFilter;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.locality.LinkBudget;
import org.knapweedcleat.core.locality.LocalityListener;

/** Three failure domains of a region whose demand varies by the same wave, out of step. */
final class DomainWaves {

  static final List<FailureDomainId> DOMAINS =
      List.of(FailureDomainId.of("a"), FailureDomainId.of("b"), FailureDomainId.of("c"));

  /** The wait that keeping a call in its domain may cost. */
  static final int INTER_DOMAIN_COST_MILLIS = 100;

  private static final double PERIOD_MILLIS = 17_000;
  private static final double AMPLITUDE = 0.55;
  private static final long REPORT_LIFETIME_MILLIS = 2_500;

  private DomainWaves() {}

  /** Returns the rate of a domain's calls relative to their mean rate. */
  static double relativeRate(FailureDomainId domain, double nowMillis) {
    double phase = (double) DOMAINS.indexOf(domain) / DOMAINS.size();
    return 1 + AMPLITUDE * Math.sin(2 * Math.PI * (nowMillis / PERIOD_MILLIS + phase));
  }

  static DomainTopology topology(FailureDomainId local) {
    return DomainTopology.of(
        local,
        DOMAINS.stream().collect(Collectors.toMap(domain -> domain, domain -> RegionId.of("r"))));
  }

  /** Returns the filter of an instance that hears from all domains at the given interval. */
  static Optional<HomeDomainFilter> filter(
      boolean keepsCallsAtHome, long reportAgeMillis, Random random) {
    return keepsCallsAtHome
        ? Optional.of(
            HomeDomainFilter.of(
                INTER_DOMAIN_COST_MILLIS,
                REPORT_LIFETIME_MILLIS,
                LinkBudget.of(0, () -> 1),
                (nowMillis, domain) -> OptionalLong.of(reportAgeMillis),
                LocalityListener.NONE,
                random::nextDouble))
        : Optional.empty();
  }

  /** Returns the time of the next call of a domain, by a Poisson process. */
  static double nextArrivalMillis(
      FailureDomainId domain, double nowMillis, double meanPerSecond, Random random) {
    double rate = meanPerSecond * relativeRate(domain, nowMillis);
    return nowMillis - Math.log(1 - random.nextDouble()) * 1_000 / rate;
  }

  /**
   * What was measured.
   *
   * @param calls the calls that were sent to an endpoint
   * @param left those of them that left their domain
   * @param refused the calls that found no capacity in time
   * @param firstEventMillisSum the sum of the times to the first event
   * @param late the calls whose first event came after the target
   */
  record Measurement(long calls, long left, long refused, double firstEventMillisSum, long late) {

    static final Measurement NONE = new Measurement(0, 0, 0, 0, 0);

    Measurement plusCall(boolean hasLeft, double firstEventMillis, boolean isLate) {
      return new Measurement(
          calls + 1,
          left + (hasLeft ? 1 : 0),
          refused,
          firstEventMillisSum + firstEventMillis,
          late + (isLate ? 1 : 0));
    }

    Measurement plusRefused() {
      return new Measurement(calls, left, refused + 1, firstEventMillisSum, late);
    }

    Measurement plus(Measurement other) {
      return new Measurement(
          calls + other.calls,
          left + other.left,
          refused + other.refused,
          firstEventMillisSum + other.firstEventMillisSum,
          late + other.late);
    }

    double leftShare() {
      return (double) left / calls;
    }

    double meanFirstEventMillis() {
      return firstEventMillisSum / calls;
    }

    /** Returns the share of all calls that were refused or late. */
    double missedShare() {
      return (double) (refused + late) / (calls + refused);
    }
  }

  /** Describes a measurement for the message of an assertion. */
  static String describe(Map<String, Measurement> measurements) {
    return measurements.entrySet().stream()
        .map(
            entry ->
                String.format(
                    "%s: left %.3f, first event %.1f ms, missed %.4f",
                    entry.getKey(),
                    entry.getValue().leftShare(),
                    entry.getValue().meanFirstEventMillis(),
                    entry.getValue().missedShare()))
        .collect(Collectors.joining("; "));
  }
}
