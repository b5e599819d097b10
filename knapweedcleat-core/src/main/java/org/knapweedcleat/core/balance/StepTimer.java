package org.knapweedcleat.core.balance;

import java.util.OptionalDouble;

/** Measures the time between events of one stream at one engine. */
public final class StepTimer {

  /** Intervals of one observation: a pause or a burst of the link hardly changes their mean. */
  private static final int INTERVALS = 8;

  /** Bounds the observations of one stream, so that several streams decide about an engine. */
  private static final int MAX_OBSERVATIONS = 3;

  private long startedAtMillis;
  private int events;
  private int observations;

  private StepTimer() {}

  /**
   * Returns a timer of a stream without events.
   *
   * @return the timer
   */
  public static StepTimer create() {
    return new StepTimer();
  }

  /**
   * Records the arrival of an event.
   *
   * @param nowMillis the current time
   * @return the mean time between the latest events in milliseconds, once for several events
   */
  public OptionalDouble onEvent(long nowMillis) {
    if (observations == MAX_OBSERVATIONS) {
      return OptionalDouble.empty();
    }
    if (events++ == 0) {
      startedAtMillis = nowMillis;
      return OptionalDouble.empty();
    }
    if (events <= INTERVALS) {
      return OptionalDouble.empty();
    }
    final double meanMillis = (double) (nowMillis - startedAtMillis) / INTERVALS;
    startedAtMillis = nowMillis;
    events = 1;
    observations++;
    return OptionalDouble.of(meanMillis);
  }

  /** Drops the intervals measured last, since the stream was paused by its caller. */
  public void onPaused() {
    events = 0;
  }
}
