package org.knapweedcleat.core.forward;

/** When the steps of one streamed call happened, so that a late one shows where its time went. */
public final class StreamTimeline {

  private static final long NOT_YET = -1;

  private final long beganMillis;
  private long placedMillis = NOT_YET;
  private long readMillis = NOT_YET;
  private long firstMillis = NOT_YET;
  private long lastEventMillis;
  private long longestPauseMillis;

  private StreamTimeline(long beganMillis) {
    this.beganMillis = beganMillis;
  }

  /**
   * Returns the timeline of a call that begins.
   *
   * @param nowMillis the time
   * @return the timeline
   */
  public static StreamTimeline began(long nowMillis) {
    return new StreamTimeline(nowMillis);
  }

  /**
   * Notes that the call has got engines; only the first time counts.
   *
   * @param nowMillis the time
   */
  public void placed(long nowMillis) {
    placedMillis = placedMillis == NOT_YET ? nowMillis - beganMillis : placedMillis;
  }

  /**
   * Notes that a prefill engine has read the prompt.
   *
   * @param nowMillis the time
   */
  public void read(long nowMillis) {
    readMillis = nowMillis - beganMillis;
  }

  /**
   * Notes that an event has come.
   *
   * @param nowMillis the time
   */
  public void event(long nowMillis) {
    if (firstMillis == NOT_YET) {
      firstMillis = nowMillis - beganMillis;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventMillis);
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
  public long readMillis() {
    return readMillis;
  }

  /**
   * Returns when its first event came.
   *
   * @return milliseconds after its beginning; -1 if none came
   */
  public long firstMillis() {
    return firstMillis;
  }

  /**
   * Returns the longest time between two events.
   *
   * @return milliseconds
   */
  public long longestPauseMillis() {
    return longestPauseMillis;
  }
}
