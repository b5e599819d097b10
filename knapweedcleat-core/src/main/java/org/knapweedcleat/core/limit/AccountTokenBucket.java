package org.knapweedcleat.core.limit;

/**
 * The tokens of one client account that this instance has at hand.
 *
 * <p>Tokens taken for another instance may be granted there as late as a draw's timeout. Until then
 * they keep their place under the cap, so that no tokens earned meanwhile stand beside them.
 *
 * <p>Remembers the highest level of the current and the previous period, so that a refund that
 * comes late gives no more than it would have given at once.
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

  /** Earns tokens up to the given time. */
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

  /** Loses the tokens above a lower cap; refunds of earlier grants are void from now on. */
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

  /** Takes tokens that another instance grants within the late time. */
  boolean takeInFlight(long nowMillis, double tokens) {
    if (!take(tokens)) {
      return false;
    }
    addInFlightTokens(nowMillis, tokens);
    return true;
  }

  /** Removes and returns a part of the tokens. */
  double split(double fraction) {
    double moved = levelTokens * fraction;
    levelTokens -= moved;
    return moved;
  }

  /** Removes and returns a part of the tokens that may still be granted late. */
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

  /** Adds tokens that were due at some time in the current or the previous period. */
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
