package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Records the outcome of each request of a run and the totals of the run. */
final class OutcomeRecorder {

  private final List<Outcome> outcomes = new ArrayList<>();
  private final Map<WasteCause, Long> wastedTokens = new EnumMap<>(WasteCause.class);
  private long computedTokens;
  private long retries;
  private int heldAtEnd;
  private double overGrantTokens;

  private OutcomeRecorder() {}

  static OutcomeRecorder create() {
    return new OutcomeRecorder();
  }

  void add(Outcome outcome) {
    outcomes.add(outcome);
  }

  void recordComputedTokens(int tokens) {
    computedTokens += tokens;
  }

  void recordWastedTokens(WasteCause cause, int tokens) {
    wastedTokens.merge(cause, (long) tokens, Long::sum);
  }

  void recordRetry() {
    retries++;
  }

  void setHeldAtEnd(int requests) {
    heldAtEnd = requests;
  }

  void recordOverGrant(double tokens) {
    overGrantTokens += tokens;
  }

  List<Outcome> all() {
    return outcomes;
  }

  long wastedTokens(WasteCause cause) {
    return wastedTokens.getOrDefault(cause, 0L);
  }

  long computedTokens() {
    return computedTokens;
  }

  double wastedShare() {
    long totalWastedTokens = wastedTokens.values().stream().mapToLong(Long::longValue).sum();
    return computedTokens == 0 ? 0 : (double) totalWastedTokens / computedTokens;
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
   * The outcome of one request.
   *
   * @param arrival the request
   * @param status how the request ended
   * @param firstTokenMillis the time to the first token, 0 if there was none
   * @param tokenGapMillis the mean time between tokens, 0 if there were fewer than two
   */
  record Outcome(
      Arrival arrival, OutcomeStatus status, double firstTokenMillis, double tokenGapMillis) {}
}
