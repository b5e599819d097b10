package org.knapweedcleat.core.drain;

/** Decides which calls an instance still takes after it was told to stop. */
public final class StopWindow {

  private final long takesAllUntilMillis;
  private final long endMillis;

  private StopWindow(long takesAllUntilMillis, long endMillis) {
    this.takesAllUntilMillis = takesAllUntilMillis;
    this.endMillis = endMillis;
  }

  /**
   * Returns the window of a planned stop.
   *
   * @param takesAllUntilMillis until when callers cannot know of the stop, so that all is taken
   * @param endMillis when the instance ends
   * @return the window
   */
  public static StopWindow of(long takesAllUntilMillis, long endMillis) {
    return new StopWindow(takesAllUntilMillis, endMillis);
  }

  /**
   * Tells whether a call is taken.
   *
   * @param nowMillis the time
   * @param longestMillis the longest time that the call may take
   * @return false if the call could be cut by the end and another instance should take it
   */
  public boolean takes(long nowMillis, long longestMillis) {
    return nowMillis <= takesAllUntilMillis || nowMillis + longestMillis <= endMillis;
  }
}
