package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What became of the requests of a run. */
final class Outcomes {

  private final List<Outcome> outcomes = new ArrayList<>();
  private final Map<WasteCause, Long> wastedTokens = new EnumMap<>(WasteCause.class);
  private long computedTokens;
  private long retries;
  private int heldAtEnd;
  private double overGrantTokens;

  private Outcomes() {}

  static Outcomes create() {
    return new Outcomes();
  }

  void add(Outcome outcome) {
    outcomes.add(outcome);
  }

  void computed(int tokens) {
    computedTokens += tokens;
  }

  void wasted(WasteCause cause, int tokens) {
    wastedTokens.merge(cause, (long) tokens, Long::sum);
  }

  void retried() {
    retries++;
  }

  void noteHeldAtEnd(int requests) {
    heldAtEnd = requests;
  }

  void overGranted(double tokens) {
    overGrantTokens += tokens;
  }

  List<Outcome> all() {
    return outcomes;
  }

  long wastedBy(WasteCause cause) {
    return wastedTokens.getOrDefault(cause, 0L);
  }

  long computedTokens() {
    return computedTokens;
  }

  double wastedShare() {
    long wasted = wastedTokens.values().stream().mapToLong(Long::longValue).sum();
    return computedTokens == 0 ? 0 : (double) wasted / computedTokens;
  }

  long retries() {
    return retries;
  }

  int heldAtEnd() {
    return heldAtEnd;
  }

  double overGrantTokens() {
    return overGrantTokens;
  }

  /**
   * What became of one request.
   *
   * @param arrival the request
   * @param verdict how it ended
   * @param firstTokenMillis the time to the first token, 0 if there was none
   * @param gapMillis the mean time between tokens, 0 if there were less than two
   */
  record Outcome(Arrival arrival, Verdict verdict, double firstTokenMillis, double gapMillis) {}
}
