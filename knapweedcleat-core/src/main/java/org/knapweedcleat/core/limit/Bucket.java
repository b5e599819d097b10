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
final class Bucket {

  private double levelTokens;
  private long atMillis;
  private double lateTokens;
  private double previousLateTokens;
  private long lateStartMillis;
  private long period;
  private double peakTokens;
  private double previousPeakTokens;

  private Bucket(long atMillis) {
    this.atMillis = atMillis;
  }

  static Bucket of(long atMillis) {
    return new Bucket(atMillis);
  }

  /** Earns tokens up to the given time. */
  void earn(
      long nowMillis,
      long lateMillis,
      long currentPeriod,
      double tokensPerMilli,
      double capTokens) {
    while (isAnyLate() && nowMillis >= lateStartMillis + lateMillis) {
      lateStartMillis += lateMillis;
      earnUntil(lateStartMillis, tokensPerMilli, capTokens);
      previousLateTokens = lateTokens;
      lateTokens = 0;
    }
    earnUntil(nowMillis, tokensPerMilli, capTokens);
    notePeak(currentPeriod);
  }

  /** Loses the tokens above a lower cap; refunds of earlier grants are void from now on. */
  void truncate(double capTokens) {
    levelTokens = Math.min(levelTokens, Math.max(0, capTokens - allLateTokens()));
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
  boolean takeLate(long nowMillis, double tokens) {
    if (!take(tokens)) {
      return false;
    }
    addLateTokens(nowMillis, tokens);
    return true;
  }

  /** Removes and returns a part of the tokens. */
  double split(double part) {
    double moved = levelTokens * part;
    levelTokens -= moved;
    return moved;
  }

  /** Removes and returns a part of the tokens that may still be granted late. */
  double splitLate(double part) {
    double moved = allLateTokens() * part;
    lateTokens *= 1 - part;
    previousLateTokens *= 1 - part;
    return moved;
  }

  void addLateTokens(long nowMillis, double tokens) {
    if (!isAnyLate()) {
      lateStartMillis = nowMillis;
    }
    lateTokens += tokens;
  }

  void add(double tokens, double capTokens) {
    double roomTokens = Math.max(0, capTokens - allLateTokens() - levelTokens);
    levelTokens += Math.min(tokens, roomTokens);
    peakTokens = Math.max(peakTokens, levelTokens);
  }

  /** Adds tokens that were due at some time in the current or the previous period. */
  void addOverdue(double tokens, double capTokens) {
    double peak = Math.max(peakTokens, previousPeakTokens);
    double roomTokens = Math.max(0, capTokens - peak);
    add(Math.min(tokens, roomTokens), capTokens);
  }

  double levelTokens() {
    return levelTokens;
  }

  private void earnUntil(long untilMillis, double tokensPerMilli, double capTokens) {
    if (untilMillis <= atMillis) {
      return;
    }
    double roomTokens = Math.max(0, capTokens - allLateTokens() - levelTokens);
    levelTokens += Math.min(roomTokens, tokensPerMilli * (untilMillis - atMillis));
    atMillis = untilMillis;
  }

  private boolean isAnyLate() {
    return allLateTokens() > 0;
  }

  private double allLateTokens() {
    return lateTokens + previousLateTokens;
  }

  private void notePeak(long currentPeriod) {
    double levelWithLateTokens = levelTokens + allLateTokens();
    if (currentPeriod == period) {
      peakTokens = Math.max(peakTokens, levelWithLateTokens);
      return;
    }
    boolean next = currentPeriod == period + 1;
    previousPeakTokens = next ? Math.max(peakTokens, levelWithLateTokens) : levelWithLateTokens;
    peakTokens = levelWithLateTokens;
    period = currentPeriod;
  }
}
