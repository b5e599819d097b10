package org.knapweedcleat.core.forward;

/**
 * Decides which part of the fleet's slack for repeats an instance may use, so that the parts of all
 * instances together never exceed the whole.
 *
 * <p>The slack is divided by the largest fleet that this instance has seen or was told of: those
 * behind a cut go on to use their parts. A run that has just started uses little, because its
 * predecessor may have used a whole part within the same window, and nothing at all until it can
 * know how large the fleet is.
 */
public final class RetrySlackShare {

  /** The part that a young run uses: two restarts within a window stay inside the slack. */
  private static final double YOUNG_FRACTION = 0.1;

  /** How long news of a new instance takes to reach all others, with some lost messages. */
  private static final long PROPAGATION_MILLIS = 3_000;

  /** How long the known fleet does not grow before a young run takes it as the whole. */
  private static final long STABLE_MILLIS = 2_000;

  /** Longer than cuts and outages last; a fleet that has shrunk for good is noticed after it. */
  private static final long SIZE_WINDOW_MILLIS = 600_000;

  private final long startedAtMillis;
  private final long windowMillis;
  private int windowMaxSize;
  private int previousWindowMaxSize;
  private long sizeWindowStartMillis;
  private long lastGrowthMillis;
  private boolean alone;
  private boolean sizeKnown;

  private RetrySlackShare(long startedAtMillis, long windowMillis) {
    this.startedAtMillis = startedAtMillis;
    this.windowMillis = windowMillis;
    this.sizeWindowStartMillis = startedAtMillis;
    this.lastGrowthMillis = startedAtMillis;
  }

  /**
   * Returns the share of a run that knows nothing of the fleet.
   *
   * @param startedAtMillis when the run started
   * @param windowMillis the window in which repeats are counted
   * @return the share
   */
  public static RetrySlackShare of(long startedAtMillis, long windowMillis) {
    return new RetrySlackShare(startedAtMillis, windowMillis);
  }

  /**
   * Takes how much of the fleet is known.
   *
   * @param nowMillis the time
   * @param known the instances that may live, the own one included
   * @param unknownSeeds the seeds of which nothing was heard yet
   */
  public void observe(long nowMillis, int known, int unknownSeeds) {
    if (nowMillis - sizeWindowStartMillis > SIZE_WINDOW_MILLIS) {
      previousWindowMaxSize = windowMaxSize;
      windowMaxSize = 0;
      sizeWindowStartMillis = nowMillis;
    }
    alone = known == 1 && unknownSeeds == 0;
    sizeKnown = sizeKnown || unknownSeeds == 0;
    recordSize(nowMillis, known);
  }

  /**
   * Takes the size of the fleet that another instance goes by.
   *
   * @param nowMillis the time
   * @param size its {@link #fleetSize}; 0 tells nothing
   */
  public void observeReported(long nowMillis, int size) {
    if (size > 0 && !sizeKnown) {
      sizeKnown = true;
      recordSize(nowMillis, size);
    }
  }

  /**
   * Returns the size of the fleet that this instance goes by.
   *
   * @return instances; 0 while it cannot know them all
   */
  public int fleetSize() {
    return sizeKnown ? Math.max(windowMaxSize, previousWindowMaxSize) : 0;
  }

  /**
   * Returns the part of the slack that this instance may use.
   *
   * @param nowMillis the time
   * @return 0 to 1
   */
  public double fraction(long nowMillis) {
    boolean settled = sizeKnown && (alone || nowMillis - lastGrowthMillis >= STABLE_MILLIS);
    boolean young = nowMillis - startedAtMillis < windowMillis + PROPAGATION_MILLIS;
    if (fleetSize() == 0 || young && !settled) {
      return 0;
    }
    return (young ? YOUNG_FRACTION : WindowedRetryBudget.USED_FRACTION) / fleetSize();
  }

  private void recordSize(long nowMillis, int size) {
    if (size > Math.max(windowMaxSize, previousWindowMaxSize)) {
      lastGrowthMillis = nowMillis;
    }
    windowMaxSize = Math.max(windowMaxSize, size);
  }
}
