package org.knapweedcleat.core.forward;

/**
 * Computes the share of the fleet's retry slack that an instance may use, so that the shares of all
 * instances never add up to more than the slack.
 *
 * <p>The slack is divided by the largest fleet size that this instance has observed or been told,
 * because instances on the other side of a network partition continue to use their shares. A newly
 * started incarnation uses only a small share, because its predecessor may have used a full share
 * within the same window, and none at all until it can know the fleet size.
 */
public final class RetrySlackShare {

  /** Share used soon after a start, so that two restarts within a window stay within the slack. */
  private static final double YOUNG_FRACTION = 0.1;

  /** Time until all instances know of a new one, even if some messages are lost. */
  private static final long PROPAGATION_MILLIS = 3_000;

  /** Time without growth after which a new incarnation considers the known fleet complete. */
  private static final long STABLE_MILLIS = 2_000;

  /**
   * Period over which the maximum fleet size is tracked. It is longer than partitions and outages
   * last, and bounds how long a permanently shrunken fleet goes unnoticed.
   */
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
   * Returns the share of an incarnation that does not know the fleet yet.
   *
   * @param startedAtMillis the start time of the incarnation
   * @param windowMillis the length of the retry budget's window
   * @return the share
   */
  public static RetrySlackShare of(long startedAtMillis, long windowMillis) {
    return new RetrySlackShare(startedAtMillis, windowMillis);
  }

  /**
   * Updates the share with the known fleet.
   *
   * @param nowMillis the current time
   * @param knownInstances the number of instances that may be alive, including this one
   * @param silentSeeds the number of seeds that have not been heard from yet
   */
  public void observe(long nowMillis, int knownInstances, int silentSeeds) {
    if (nowMillis - sizeWindowStartMillis > SIZE_WINDOW_MILLIS) {
      previousWindowMaxSize = windowMaxSize;
      windowMaxSize = 0;
      sizeWindowStartMillis = nowMillis;
    }
    alone = knownInstances == 1 && silentSeeds == 0;
    sizeKnown = sizeKnown || silentSeeds == 0;
    recordSize(nowMillis, knownInstances);
  }

  /**
   * Updates the share with the fleet size reported by another instance; used only until the size is
   * known.
   *
   * @param nowMillis the current time
   * @param size the {@link #fleetSize} of the other instance; 0 if it is unknown there
   */
  public void observeReported(long nowMillis, int size) {
    if (size > 0 && !sizeKnown) {
      sizeKnown = true;
      recordSize(nowMillis, size);
    }
  }

  /**
   * Returns the fleet size by which the slack is divided.
   *
   * @return the number of instances; 0 while it is unknown
   */
  public int fleetSize() {
    return sizeKnown ? Math.max(windowMaxSize, previousWindowMaxSize) : 0;
  }

  /**
   * Returns the fraction of the slack that this instance may use.
   *
   * @param nowMillis the current time
   * @return 0 to 1
   */
  public double fraction(long nowMillis) {
    boolean stable = sizeKnown && (alone || nowMillis - lastGrowthMillis >= STABLE_MILLIS);
    boolean young = nowMillis - startedAtMillis < windowMillis + PROPAGATION_MILLIS;
    if (fleetSize() == 0 || young && !stable) {
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
