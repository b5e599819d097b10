package org.knapweedcleat.core.limit;

/**
 * The token bucket of one client account at this instance.
 *
 * <p>Tokens taken for another instance are in flight: they may be granted there until the draw
 * times out. Until then they count towards the cap, so that refilled tokens cannot exceed it
 * together with them.
 *
 * <p>Records the peak level of the current and the previous period, so that a delayed refund adds
 * no more tokens than an immediate one would have added.
 */
final class AccountTokenBucket {

  private double levelTokens;
  private long refilledAtMillis;
  private double inFlightTokens;
  private double previousInFlightTokens;
  private long inFlightStartMillis;
  private long period;
  private double peakTokens;
  private double previousPeakTokens;

  private AccountTokenBucket(long nowMillis) {
    this.refilledAtMillis = nowMillis;
  }

  static AccountTokenBucket of(long nowMillis) {
    return new AccountTokenBucket(nowMillis);
  }

  /** Refills the bucket up to the given time and expires in-flight tokens. */
  void refill(
      long nowMillis,
      long inFlightMillis,
      long currentPeriod,
      double tokensPerMilli,
      double capTokens) {
    while (hasInFlightTokens() && nowMillis >= inFlightStartMillis + inFlightMillis) {
      inFlightStartMillis += inFlightMillis;
      refillUntil(inFlightStartMillis, tokensPerMilli, capTokens);
      previousInFlightTokens = inFlightTokens;
      inFlightTokens = 0;
    }
    refillUntil(nowMillis, tokensPerMilli, capTokens);
    updatePeak(currentPeriod);
  }

  /** Discards the tokens above a lower cap; delayed refunds of earlier grants become void. */
  void truncate(double capTokens) {
    levelTokens = Math.min(levelTokens, Math.max(0, capTokens - totalInFlightTokens()));
    peakTokens = Double.MAX_VALUE;
  }

  boolean take(double tokens) {
    if (levelTokens < tokens) {
      return false;
    }
    levelTokens -= tokens;
    return true;
  }

  /** Takes tokens that another instance may grant until they are no longer in flight. */
  boolean takeInFlight(long nowMillis, double tokens) {
    if (!take(tokens)) {
      return false;
    }
    addInFlightTokens(nowMillis, tokens);
    return true;
  }

  /** Removes and returns a fraction of the tokens. */
  double split(double fraction) {
    double moved = levelTokens * fraction;
    levelTokens -= moved;
    return moved;
  }

  /** Removes and returns a fraction of the in-flight tokens. */
  double splitInFlight(double fraction) {
    double moved = totalInFlightTokens() * fraction;
    inFlightTokens *= 1 - fraction;
    previousInFlightTokens *= 1 - fraction;
    return moved;
  }

  void addInFlightTokens(long nowMillis, double tokens) {
    if (!hasInFlightTokens()) {
      inFlightStartMillis = nowMillis;
    }
    inFlightTokens += tokens;
  }

  void add(double tokens, double capTokens) {
    double roomTokens = Math.max(0, capTokens - totalInFlightTokens() - levelTokens);
    levelTokens += Math.min(tokens, roomTokens);
    peakTokens = Math.max(peakTokens, levelTokens);
  }

  /** Adds tokens that should have been refunded in the current or the previous period. */
  void addDelayedRefund(double tokens, double capTokens) {
    double peak = Math.max(peakTokens, previousPeakTokens);
    double roomTokens = Math.max(0, capTokens - peak);
    add(Math.min(tokens, roomTokens), capTokens);
  }

  double levelTokens() {
    return levelTokens;
  }

  private void refillUntil(long untilMillis, double tokensPerMilli, double capTokens) {
    if (untilMillis <= refilledAtMillis) {
      return;
    }
    double roomTokens = Math.max(0, capTokens - totalInFlightTokens() - levelTokens);
    levelTokens += Math.min(roomTokens, tokensPerMilli * (untilMillis - refilledAtMillis));
    refilledAtMillis = untilMillis;
  }

  private boolean hasInFlightTokens() {
    return totalInFlightTokens() > 0;
  }

  private double totalInFlightTokens() {
    return inFlightTokens + previousInFlightTokens;
  }

  private void updatePeak(long currentPeriod) {
    double committedTokens = levelTokens + totalInFlightTokens();
    if (currentPeriod == period) {
      peakTokens = Math.max(peakTokens, committedTokens);
      return;
    }
    boolean isNextPeriod = currentPeriod == period + 1;
    previousPeakTokens = isNextPeriod ? Math.max(peakTokens, committedTokens) : committedTokens;
    peakTokens = committedTokens;
    period = currentPeriod;
  }
}
