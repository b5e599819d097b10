package org.knapweedcleat.core.schedule;

/**
 * Learns the rate of something that works through tasks, from the times at which tasks start and
 * end; it needs no knowledge of how many tasks run side by side.
 */
final class ThroughputMeter {

  private static final double PRIOR_MILLIS = 1_000;

  private final double fade;
  private double tokens;
  private double millis;
  private int outstanding;
  private long busySinceMillis;

  private ThroughputMeter(double tokensPerMilli, double learning) {
    this.fade = 1 - learning;
    this.tokens = tokensPerMilli * PRIOR_MILLIS;
    this.millis = PRIOR_MILLIS;
  }

  static ThroughputMeter of(double tokensPerSecond, double learning) {
    return new ThroughputMeter(tokensPerSecond / 1_000, learning);
  }

  void started(long now) {
    if (outstanding == 0) {
      busySinceMillis = now;
    }
    outstanding++;
  }

  void completed(long now, int completedTokens) {
    if (outstanding == 0) {
      return;
    }
    long busyMillis = now - busySinceMillis;
    if (completedTokens > 0) {
      tokens = tokens * fade + completedTokens;
      millis = Math.max(1, millis * fade + busyMillis);
    }
    abandoned(now);
  }

  /** A task ended without having been done. */
  void abandoned(long now) {
    outstanding = Math.max(0, outstanding - 1);
    busySinceMillis = now;
  }

  double tokensPerMilli() {
    return tokens / millis;
  }

  /** Returns the tokens that the task in hand has probably got done. */
  double tokensInHand(long now) {
    return outstanding == 0 ? 0 : (now - busySinceMillis) * tokensPerMilli();
  }
}
