package org.knapweedcleat.bench;

/** A token bucket that starts full. */
final class TokenBucket {

  private static final double MICROS_PER_SECOND = 1e6;

  private final double ratePerMicro;
  private final double burst;
  private double level;
  private long updatedMicros;

  private TokenBucket(double ratePerSecond, double burst) {
    this.ratePerMicro = ratePerSecond / MICROS_PER_SECOND;
    this.burst = burst;
    this.level = burst;
  }

  static TokenBucket of(double ratePerSecond, double burst) {
    return new TokenBucket(ratePerSecond, burst);
  }

  boolean take(long nowMicros, long tokens) {
    refill(nowMicros);
    if (level < tokens) {
      return false;
    }
    level -= tokens;
    return true;
  }

  boolean has(long nowMicros, long tokens) {
    refill(nowMicros);
    return level >= tokens;
  }

  /** Takes tokens even if there are too few; returns how many were missing. */
  double force(long nowMicros, long tokens) {
    refill(nowMicros);
    double missing = Math.max(0, tokens - level);
    level = Math.max(0, level - tokens);
    return missing;
  }

  private void refill(long nowMicros) {
    level = Math.min(burst, level + (nowMicros - updatedMicros) * ratePerMicro);
    updatedMicros = nowMicros;
  }
}
