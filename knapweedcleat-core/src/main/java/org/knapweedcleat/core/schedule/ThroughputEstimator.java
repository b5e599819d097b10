package org.knapweedcleat.core.schedule;

/**
 * Estimates throughput from the start and end times of tasks, without knowing how many of them run
 * in parallel.
 */
final class ThroughputEstimator {

  private static final double PRIOR_MILLIS = 1_000;

  private final double decay;
  private double tokens;
  private double millis;
  private int outstanding;
  private long busySinceMillis;

  private ThroughputEstimator(double tokensPerMilli, double learningWeight) {
    this.decay = 1 - learningWeight;
    this.tokens = tokensPerMilli * PRIOR_MILLIS;
    this.millis = PRIOR_MILLIS;
  }

  static ThroughputEstimator of(double tokensPerSecond, double learningWeight) {
    return new ThroughputEstimator(tokensPerSecond / 1_000, learningWeight);
  }

  void taskStarted(long now) {
    if (outstanding == 0) {
      busySinceMillis = now;
    }
    outstanding++;
  }

  void taskCompleted(long now, int completedTokens) {
    if (outstanding == 0) {
      return;
    }
    long busyMillis = now - busySinceMillis;
    if (completedTokens > 0) {
      tokens = tokens * decay + completedTokens;
      millis = Math.max(1, millis * decay + busyMillis);
    }
    taskAbandoned(now);
  }

  /** Records the end of a task that did not complete. */
  void taskAbandoned(long now) {
    outstanding = Math.max(0, outstanding - 1);
    busySinceMillis = now;
  }

  double tokensPerMilli() {
    return tokens / millis;
  }

  /** Estimates the tokens processed so far in the current task. */
  double tokensInProgress(long now) {
    return outstanding == 0 ? 0 : (now - busySinceMillis) * tokensPerMilli();
  }
}
