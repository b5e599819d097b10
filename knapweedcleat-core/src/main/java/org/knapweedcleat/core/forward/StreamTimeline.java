package org.knapweedcleat.core.forward;

/** Records when the steps of a streamed call happened, to show where a late call lost its time. */
public final class StreamTimeline {

  private static final long NOT_YET = -1;

  private final long startMillis;
  private long placedMillis = NOT_YET;
  private long prefilledMillis = NOT_YET;
  private long firstEventMillis = NOT_YET;
  private long lastEventMillis;
  private long longestGapMillis;

  private StreamTimeline(long beganMillis) {
    this.startMillis = beganMillis;
  }

  /**
   * Returns the timeline of a call.
   *
   * @param nowMillis the start time of the call
   * @return the timeline
   */
  public static StreamTimeline startedAt(long nowMillis) {
    return new StreamTimeline(nowMillis);
  }

  /**
   * Records that engines were assigned to the call; only the first assignment counts.
   *
   * @param nowMillis the current time
   */
  public void recordPlacement(long nowMillis) {
    placedMillis = placedMillis == NOT_YET ? nowMillis - startMillis : placedMillis;
  }

  /**
   * Records that a prefill engine has prefilled the prompt.
   *
   * @param nowMillis the current time
   */
  public void recordPrefill(long nowMillis) {
    prefilledMillis = nowMillis - startMillis;
  }

  /**
   * Records the arrival of an event.
   *
   * @param nowMillis the current time
   */
  public void recordEvent(long nowMillis) {
    if (firstEventMillis == NOT_YET) {
      firstEventMillis = nowMillis - startMillis;
    } else {
      longestGapMillis = Math.max(longestGapMillis, nowMillis - lastEventMillis);
    }
    lastEventMillis = nowMillis;
  }

  /**
   * Returns when engines were first assigned.
   *
   * @return milliseconds since the start of the call; -1 if none were assigned
   */
  public long placedMillis() {
    return placedMillis;
  }

  /**
   * Returns when the prompt was last prefilled by a prefill engine.
   *
   * @return milliseconds since the start of the call; -1 if it was not
   */
  public long prefilledMillis() {
    return prefilledMillis;
  }

  /**
   * Returns when the first event arrived.
   *
   * @return milliseconds since the start of the call; -1 if none arrived
   */
  public long firstEventMillis() {
    return firstEventMillis;
  }

  /**
   * Returns the longest gap between two events.
   *
   * @return milliseconds
   */
  public long longestGapMillis() {
    return longestGapMillis;
  }
}
