package org.knapweedcleat.bench;

/** A token bucket in virtual time, initially full. */
final class TokenBucket {

  private static final double MICROS_PER_SECOND = 1e6;

  private final double tokensPerMicro;
  private final double capacityTokens;
  private double availableTokens;
  private long lastRefillMicros;

  private TokenBucket(double tokensPerSecond, double capacityTokens) {
    this.tokensPerMicro = tokensPerSecond / MICROS_PER_SECOND;
    this.capacityTokens = capacityTokens;
    this.availableTokens = capacityTokens;
  }

  static TokenBucket of(double tokensPerSecond, double capacityTokens) {
    return new TokenBucket(tokensPerSecond, capacityTokens);
  }

  boolean tryTake(long nowMicros, long tokens) {
    refill(nowMicros);
    if (availableTokens < tokens) {
      return false;
    }
    availableTokens -= tokens;
    return true;
  }

  boolean hasTokens(long nowMicros, long tokens) {
    refill(nowMicros);
    return availableTokens >= tokens;
  }

  /** Takes as many of the tokens as available and returns the number missing. */
  double takeUpTo(long nowMicros, long tokens) {
    refill(nowMicros);
    double missingTokens = Math.max(0, tokens - availableTokens);
    availableTokens = Math.max(0, availableTokens - tokens);
    return missingTokens;
  }

  private void refill(long nowMicros) {
    availableTokens =
        Math.min(capacityTokens, availableTokens + (nowMicros - lastRefillMicros) * tokensPerMicro);
    lastRefillMicros = nowMicros;
  }
}
