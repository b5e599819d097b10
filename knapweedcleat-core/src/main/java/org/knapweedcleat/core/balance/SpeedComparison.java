package org.knapweedcleat.core.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Compares the speed of engines by what several instances have observed.
 *
 * <p>Uses a median polish of the logarithms: each duration is the product of a factor of the
 * instance, a factor of the engine and noise. What an instance sees of all engines alike, because
 * it is slow itself, is in its own factor and does not count.
 */
final class SpeedComparison {

  /** Each halves the error where instances saw two engines each, so that 2 in 100 of it remain. */
  private static final int ITERATIONS = 6;

  /**
   * Assumed share of observations that differ from the median by chance, if fewer did: the latest
   * ones of all engines are few.
   */
  private static final double MIN_CHANCE = 0.05;

  private final double equalLog;
  private final Map<String, Map<EndpointId, List<Vote>>> votesBySource = new HashMap<>();

  /**
   * The logarithm of a duration.
   *
   * @param value the logarithm
   * @param weight the number of observations for which it counts
   * @param isRecent whether it counts for the engine; otherwise only for the instance's own factor
   */
  private record Vote(double value, int weight, boolean isRecent) {
    Vote minus(double other) {
      return new Vote(value - other, weight, isRecent);
    }
  }

  /**
   * The speed of an engine relative to the median engine, as logarithms.
   *
   * @param median the median of the observations
   * @param observations their number
   * @param slowChance the probability of as many slow observations at an engine of usual speed
   * @param fastChance the probability of as many fast observations at an engine of usual speed
   */
  record Relative(double median, int observations, double slowChance, double fastChance) {}

  /**
   * Creates a comparison without observations.
   *
   * @param equalFactor an observation within this factor of the median is neither slow nor fast
   */
  SpeedComparison(double equalFactor) {
    this.equalLog = Math.log(equalFactor);
  }

  /**
   * Adds the duration that an instance observed at an engine.
   *
   * @param source the instance
   * @param engine the engine
   * @param millis the duration
   * @param weight the number of observations for which it counts
   * @param isRecent whether it is among the observations by which the engine is judged
   */
  void add(String source, EndpointId engine, double millis, int weight, boolean isRecent) {
    votesBySource
        .computeIfAbsent(source, key -> new HashMap<>())
        .computeIfAbsent(engine, key -> new ArrayList<>())
        .add(new Vote(Math.log(millis), weight, isRecent));
  }

  /** Returns the engines that were compared; instances that saw only one engine do not count. */
  Map<EndpointId, Relative> compare() {
    votesBySource.values().removeIf(engines -> engines.size() < 2);
    Map<EndpointId, Double> factors = new HashMap<>();
    Map<EndpointId, List<Vote>> votes = Map.of();
    for (int i = 0; i < ITERATIONS; i++) {
      votes = votesWithoutSourceFactors(factors);
      votes.forEach((engine, list) -> factors.put(engine, weightedMedian(list)));
      double middle = median(factors.values().stream().toList());
      factors.replaceAll((engine, factor) -> factor - middle);
      votes.values().forEach(list -> list.replaceAll(vote -> vote.minus(middle)));
    }
    double slowShare = usualShare(votes, equalLog, 1);
    double fastShare = usualShare(votes, equalLog, -1);
    Map<EndpointId, Relative> compared = new HashMap<>();
    votes.forEach(
        (engine, list) ->
            compared.put(
                engine,
                new Relative(
                    weightedMedian(list),
                    weight(list),
                    chance(weight(list), exceeding(list, equalLog, 1), slowShare),
                    chance(weight(list), exceeding(list, equalLog, -1), fastShare))));
    return compared;
  }

  /** Returns the share of an engine's observations beyond the limit, at the median engine. */
  private static double usualShare(Map<EndpointId, List<Vote>> votes, double equalLog, int sign) {
    List<Double> shares =
        votes.values().stream()
            .map(list -> (double) exceeding(list, equalLog, sign) / weight(list))
            .sorted()
            .toList();
    return shares.isEmpty()
        ? MIN_CHANCE
        : Math.max(MIN_CHANCE, shares.get((shares.size() - 1) / 2));
  }

  private static int weight(List<Vote> votes) {
    return votes.stream().mapToInt(Vote::weight).sum();
  }

  private static int exceeding(List<Vote> votes, double limit, int sign) {
    return votes.stream().filter(vote -> sign * vote.value() > limit).mapToInt(Vote::weight).sum();
  }

  /** Returns the probability of at least so many successes, by the binomial distribution. */
  private static double chance(int trials, int successes, double probability) {
    double sum = 0;
    double term = Math.pow(1 - probability, trials);
    for (int i = 0; i <= trials; i++) {
      sum += i >= successes ? term : 0;
      term *= (double) (trials - i) / (i + 1) * probability / (1 - probability);
    }
    return probability >= 1 ? 1 : sum;
  }

  private Map<EndpointId, List<Vote>> votesWithoutSourceFactors(Map<EndpointId, Double> factors) {
    Map<EndpointId, List<Vote>> votes = new HashMap<>();
    for (Map<EndpointId, List<Vote>> engines : votesBySource.values()) {
      List<Double> deviations = new ArrayList<>();
      engines.forEach(
          (engine, list) ->
              deviations.add(weightedMedian(list) - factors.getOrDefault(engine, 0.0)));
      double sourceFactor = median(deviations);
      engines.forEach(
          (engine, list) ->
              list.stream()
                  .filter(Vote::isRecent)
                  .forEach(
                      vote ->
                          votes
                              .computeIfAbsent(engine, key -> new ArrayList<>())
                              .add(vote.minus(sourceFactor))));
    }
    return votes;
  }

  /**
   * Returns the median; the mean of the middle two of an even number, so that neither is normal.
   */
  private static double median(List<Double> values) {
    if (values.isEmpty()) {
      return 0;
    }
    List<Double> sorted = values.stream().sorted().toList();
    int middle = sorted.size() / 2;
    return sorted.size() % 2 == 1
        ? sorted.get(middle)
        : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
  }

  /** Returns the lower one of the middle two of an even number, since delays only add time. */
  private static double weightedMedian(List<Vote> votes) {
    List<Vote> sorted = votes.stream().sorted(Comparator.comparingDouble(Vote::value)).toList();
    int half = (weight(votes) + 1) / 2;
    int counted = 0;
    for (Vote vote : sorted) {
      counted += vote.weight();
      if (counted >= half) {
        return vote.value();
      }
    }
    return 0;
  }
}
