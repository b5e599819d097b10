package org.knapweedcleat.core.drain;

/** Decides which calls an instance still admits after its shutdown was requested. */
public final class ShutdownAdmission {

  /** The time before the stop in which the last responses are written. */
  public static final long RESPONSE_MARGIN_MILLIS = 100;

  private final long admitsAllUntilMillis;
  private final long stopAtMillis;

  private ShutdownAdmission(long admitsAllUntilMillis, long stopAtMillis) {
    this.admitsAllUntilMillis = admitsAllUntilMillis;
    this.stopAtMillis = stopAtMillis;
  }

  /**
   * Returns the admission rule of a planned shutdown.
   *
   * @param admitsAllUntilMillis the time until which also calls are admitted that may outlast the
   *     shutdown but rarely do, since callers cannot know of it yet
   * @param stopAtMillis the time at which the instance stops
   * @return the rule
   */
  public static ShutdownAdmission of(long admitsAllUntilMillis, long stopAtMillis) {
    return new ShutdownAdmission(admitsAllUntilMillis, stopAtMillis);
  }

  /**
   * Returns whether a call is admitted.
   *
   * @param nowMillis the current time
   * @param maxDurationMillis the longest time that the call may take
   * @param mustComplete whether a call that is aborted cannot be made again
   * @return false if the shutdown could abort the call, so that another instance should take it
   */
  public boolean admits(long nowMillis, long maxDurationMillis, boolean mustComplete) {
    boolean completes = nowMillis + maxDurationMillis + RESPONSE_MARGIN_MILLIS <= stopAtMillis;
    return completes || (!mustComplete && nowMillis <= admitsAllUntilMillis);
  }
}
