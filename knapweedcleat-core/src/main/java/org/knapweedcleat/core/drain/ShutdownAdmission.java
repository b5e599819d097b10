package org.knapweedcleat.core.drain;

/** Decides which calls an instance still admits after its shutdown was requested. */
public final class ShutdownAdmission {

  private final long admitsAllUntilMillis;
  private final long stopAtMillis;

  private ShutdownAdmission(long admitsAllUntilMillis, long stopAtMillis) {
    this.admitsAllUntilMillis = admitsAllUntilMillis;
    this.stopAtMillis = stopAtMillis;
  }

  /**
   * Returns the admission rule of a planned shutdown.
   *
   * @param admitsAllUntilMillis the time until which all calls are admitted, since callers cannot
   *     know of the shutdown yet
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
   * @return false if the shutdown could abort the call, so that another instance should take it
   */
  public boolean admits(long nowMillis, long maxDurationMillis) {
    return nowMillis <= admitsAllUntilMillis || nowMillis + maxDurationMillis <= stopAtMillis;
  }
}
