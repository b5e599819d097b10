package org.knapweedcleat.core.intake;

/**
 * Recognizes a body that stops short. A window of the idle timeout begins anew only after a minimum
 * number of bytes, so that an occasional byte does not extend the time.
 */
public final class BodyProgress {

  private final int minBytes;
  private long windowStartMillis;
  private long windowBytes;

  private BodyProgress(int minBytes, long nowMillis) {
    this.minBytes = minBytes;
    this.windowStartMillis = nowMillis;
  }

  /**
   * Begins a body.
   *
   * @param minBytes the bytes to be received in each window
   * @param nowMillis the current time
   * @return its progress
   */
  public static BodyProgress begin(int minBytes, long nowMillis) {
    return new BodyProgress(minBytes, nowMillis);
  }

  /**
   * Records received bytes of the body's content.
   *
   * @param bytes their number
   * @param nowMillis the current time
   */
  public void record(int bytes, long nowMillis) {
    windowBytes += bytes;
    if (windowBytes >= minBytes) {
      restart(nowMillis);
    }
  }

  /**
   * Begins a new window, for time in which the caller was not read.
   *
   * @param nowMillis the current time
   */
  public void restart(long nowMillis) {
    windowBytes = 0;
    windowStartMillis = nowMillis;
  }

  /**
   * Returns when the present window began; the body has stopped if this is a timeout ago.
   *
   * @return the time in milliseconds
   */
  public long windowStartMillis() {
    return windowStartMillis;
  }
}
