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
public final class SlackShare {

  /** The part that a young run uses: two restarts within a window stay inside the slack. */
  private static final double YOUNG_PART = 0.1;

  /** How long news of a new instance takes to reach all others, with some lost messages. */
  private static final long SPREAD_MILLIS = 3_000;

  /** How long the known fleet does not grow before a young run takes it as the whole. */
  private static final long QUIET_MILLIS = 2_000;

  /** Longer than cuts and outages last; a fleet that has shrunk for good is noticed after it. */
  private static final long MEMORY_MILLIS = 600_000;

  private final long startedAtMillis;
  private final long windowMillis;
  private int largest;
  private int largestBefore;
  private long countedSinceMillis;
  private long grownAtMillis;
  private boolean alone;
  private boolean complete;

  private SlackShare(long startedAtMillis, long windowMillis) {
    this.startedAtMillis = startedAtMillis;
    this.windowMillis = windowMillis;
    this.countedSinceMillis = startedAtMillis;
    this.grownAtMillis = startedAtMillis;
  }

  /**
   * Returns the share of a run that knows nothing of the fleet.
   *
   * @param startedAtMillis when the run started
   * @param windowMillis the window in which repeats are counted
   * @return the share
   */
  public static SlackShare of(long startedAtMillis, long windowMillis) {
    return new SlackShare(startedAtMillis, windowMillis);
  }

  /**
   * Takes how much of the fleet is known.
   *
   * @param nowMillis the time
   * @param known the instances that may live, the own one included
   * @param unknownSeeds the seeds of which nothing was heard yet
   */
  public void seen(long nowMillis, int known, int unknownSeeds) {
    if (nowMillis - countedSinceMillis > MEMORY_MILLIS) {
      largestBefore = largest;
      largest = 0;
      countedSinceMillis = nowMillis;
    }
    alone = known == 1 && unknownSeeds == 0;
    complete = complete || unknownSeeds == 0;
    grow(nowMillis, known);
  }

  /**
   * Takes the size of the fleet that another instance goes by.
   *
   * @param nowMillis the time
   * @param size its {@link #size}; 0 tells nothing
   */
  public void told(long nowMillis, int size) {
    if (size > 0 && !complete) {
      complete = true;
      grow(nowMillis, size);
    }
  }

  /**
   * Returns the size of the fleet that this instance goes by.
   *
   * @return instances; 0 while it cannot know them all
   */
  public int size() {
    return complete ? Math.max(largest, largestBefore) : 0;
  }

  /**
   * Returns the part of the slack that this instance may use.
   *
   * @param nowMillis the time
   * @return 0 to 1
   */
  public double part(long nowMillis) {
    boolean settled = complete && (alone || nowMillis - grownAtMillis >= QUIET_MILLIS);
    boolean young = nowMillis - startedAtMillis < windowMillis + SPREAD_MILLIS;
    if (size() == 0 || young && !settled) {
      return 0;
    }
    return (young ? YOUNG_PART : RepeatBudget.USED_PART) / size();
  }

  private void grow(long nowMillis, int size) {
    if (size > Math.max(largest, largestBefore)) {
      grownAtMillis = nowMillis;
    }
    largest = Math.max(largest, size);
  }
}
