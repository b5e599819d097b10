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

  /** An iteration that changes no factor by more than one in a hundred is the last. */
  private static final double MAX_LAST_CHANGE = 0.01;

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

  /** What one instance observed at one engine. */
  private record Cell(EndpointId engine, double median, List<Vote> recent) {
    static Cell of(EndpointId engine, List<Vote> votes) {
      return new Cell(
          engine, weightedMedian(votes), votes.stream().filter(Vote::isRecent).toList());
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
    List<List<Cell>> sources = comparableSources();
    Map<EndpointId, Double> factors = new HashMap<>();
    Map<EndpointId, List<Vote>> votes = Map.of();
    double change = Double.POSITIVE_INFINITY;
    for (int i = 0; i < ITERATIONS && change > MAX_LAST_CHANGE; i++) {
      votes = votesWithoutSourceFactors(sources, factors);
      change = updateFactors(votes, factors);
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

  /** Returns the instances that saw several engines, and one of them lately. */
  private List<List<Cell>> comparableSources() {
    List<List<Cell>> sources = new ArrayList<>();
    for (Map<EndpointId, List<Vote>> engines : votesBySource.values()) {
      if (engines.size() > 1) {
        List<Cell> cells = new ArrayList<>();
        engines.forEach((engine, votes) -> cells.add(Cell.of(engine, votes)));
        if (cells.stream().anyMatch(cell -> !cell.recent().isEmpty())) {
          sources.add(cells);
        }
      }
    }
    return sources;
  }

  private static Map<EndpointId, List<Vote>> votesWithoutSourceFactors(
      List<List<Cell>> sources, Map<EndpointId, Double> factors) {
    Map<EndpointId, List<Vote>> votes = new HashMap<>();
    for (List<Cell> cells : sources) {
      List<Double> deviations = new ArrayList<>();
      for (Cell cell : cells) {
        deviations.add(cell.median() - factors.getOrDefault(cell.engine(), 0.0));
      }
      double sourceFactor = median(deviations);
      for (Cell cell : cells) {
        for (Vote vote : cell.recent()) {
          votes
              .computeIfAbsent(cell.engine(), key -> new ArrayList<>())
              .add(vote.minus(sourceFactor));
        }
      }
    }
    return votes;
  }

  /** Updates the factors and shifts the votes so that the median engine has none. */
  private static double updateFactors(
      Map<EndpointId, List<Vote>> votes, Map<EndpointId, Double> factors) {
    final Map<EndpointId, Double> previous = Map.copyOf(factors);
    votes.forEach((engine, list) -> factors.put(engine, weightedMedian(list)));
    double middle = median(List.copyOf(factors.values()));
    factors.replaceAll((engine, factor) -> factor - middle);
    votes.values().forEach(list -> list.replaceAll(vote -> vote.minus(middle)));
    return factors.entrySet().stream()
        .mapToDouble(
            entry -> Math.abs(entry.getValue() - previous.getOrDefault(entry.getKey(), 0.0)))
        .max()
        .orElse(0);
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
    if (votes.size() == 1) {
      return votes.get(0).value();
    }
    List<Vote> sorted = new ArrayList<>(votes);
    sorted.sort(Comparator.comparingDouble(Vote::value));
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
