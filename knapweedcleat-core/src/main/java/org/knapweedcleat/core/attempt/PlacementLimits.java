package org.knapweedcleat.core.attempt;

/** Limits the number of placements of a split request and the time for them. */
final class PlacementLimits {

  private static final int MAX_PLACEMENTS_BEFORE_ANSWER = 4;
  private static final int MAX_PLACEMENTS = 12;

  private final long deadlineMillis;
  private final long firstTokenDueAtMillis;
  private long resumeDueAtMillis;

  private PlacementLimits(long nowMillis, long deadlineMillis) {
    this.deadlineMillis = deadlineMillis;
    this.firstTokenDueAtMillis = nowMillis + deadlineMillis;
  }

  static PlacementLimits of(long nowMillis, long deadlineMillis) {
    return new PlacementLimits(nowMillis, deadlineMillis);
  }

  /**
   * Restarts the time limit: after a stream breaks, an answer that has started gets the full
   * deadline again to resume.
   */
  void recordStreamBreak(long nowMillis) {
    resumeDueAtMillis = nowMillis + deadlineMillis;
  }

  boolean allowsPlacement(long nowMillis, int placements, boolean answerStarted) {
    return remainingMillis(nowMillis, answerStarted) > 0
        && placements < (answerStarted ? MAX_PLACEMENTS : MAX_PLACEMENTS_BEFORE_ANSWER);
  }

  long remainingMillis(long nowMillis, boolean answerStarted) {
    return Math.max(0, (answerStarted ? resumeDueAtMillis : firstTokenDueAtMillis) - nowMillis);
  }
}
