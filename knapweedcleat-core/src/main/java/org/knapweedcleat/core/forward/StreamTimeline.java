package org.knapweedcleat.core.forward;

/** When the steps of one streamed call happened, so that a late one shows where its time went. */
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
   * Returns the timeline of a call that begins.
   *
   * @param nowMillis the time
   * @return the timeline
   */
  public static StreamTimeline startedAt(long nowMillis) {
    return new StreamTimeline(nowMillis);
  }

  /**
   * Notes that the call has got engines; only the first time counts.
   *
   * @param nowMillis the time
   */
  public void recordPlacement(long nowMillis) {
    placedMillis = placedMillis == NOT_YET ? nowMillis - startMillis : placedMillis;
  }

  /**
   * Notes that a prefill engine has read the prompt.
   *
   * @param nowMillis the time
   */
  public void recordPrefill(long nowMillis) {
    prefilledMillis = nowMillis - startMillis;
  }

  /**
   * Notes that an event has come.
   *
   * @param nowMillis the time
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
   * Returns when the call first got engines.
   *
   * @return milliseconds after its beginning; -1 if it got none
   */
  public long placedMillis() {
    return placedMillis;
  }

  /**
   * Returns when its prompt was last read by a prefill engine.
   *
   * @return milliseconds after its beginning; -1 if none read it
   */
  public long prefilledMillis() {
    return prefilledMillis;
  }

  /**
   * Returns when its first event came.
   *
   * @return milliseconds after its beginning; -1 if none came
   */
  public long firstEventMillis() {
    return firstEventMillis;
  }

  /**
   * Returns the longest time between two events.
   *
   * @return milliseconds
   */
  public long longestGapMillis() {
    return longestGapMillis;
  }
}
