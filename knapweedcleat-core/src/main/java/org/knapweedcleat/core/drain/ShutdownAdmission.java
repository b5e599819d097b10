package org.knapweedcleat.core.drain;

/** Decides which calls an instance still takes after it was told to stop. */
public final class ShutdownAdmission {

  private final long admitsAllUntilMillis;
  private final long stopAtMillis;

  private ShutdownAdmission(long takesAllUntilMillis, long endMillis) {
    this.admitsAllUntilMillis = takesAllUntilMillis;
    this.stopAtMillis = endMillis;
  }

  /**
   * Returns the window of a planned stop.
   *
   * @param takesAllUntilMillis until when callers cannot know of the stop, so that all is taken
   * @param endMillis when the instance ends
   * @return the window
   */
  public static ShutdownAdmission of(long takesAllUntilMillis, long endMillis) {
    return new ShutdownAdmission(takesAllUntilMillis, endMillis);
  }

  /**
   * Tells whether a call is taken.
   *
   * @param nowMillis the time
   * @param longestMillis the longest time that the call may take
   * @return false if the call could be cut by the end and another instance should take it
   */
  public boolean admits(long nowMillis, long longestMillis) {
    return nowMillis <= admitsAllUntilMillis || nowMillis + longestMillis <= stopAtMillis;
  }
}
