package org.knapweedcleat.core.attempt;

/** How often and for how long a split request may be placed again. */
final class PlacementLimits {

  private static final int MAX_BEFORE_ANSWER = 4;
  private static final int MAX = 12;

  private final long deadlineMillis;
  private final long firstTokenByMillis;
  private long resumeByMillis;

  private PlacementLimits(long nowMillis, long deadlineMillis) {
    this.deadlineMillis = deadlineMillis;
    this.firstTokenByMillis = nowMillis + deadlineMillis;
  }

  static PlacementLimits of(long nowMillis, long deadlineMillis) {
    return new PlacementLimits(nowMillis, deadlineMillis);
  }

  /** An answer that has begun gets as long again for each break as it had for its beginning. */
  void broke(long nowMillis) {
    resumeByMillis = nowMillis + deadlineMillis;
  }

  boolean allow(long nowMillis, int placements, boolean begun) {
    return remainingMillis(nowMillis, begun) > 0 && placements < (begun ? MAX : MAX_BEFORE_ANSWER);
  }

  long remainingMillis(long nowMillis, boolean begun) {
    return Math.max(0, (begun ? resumeByMillis : firstTokenByMillis) - nowMillis);
  }
}
