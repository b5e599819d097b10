package org.knapweedcleat.core.listener;

/** What a listener knows of one connection. */
final class ConnectionState {

  /**
   * Progress by fewer bytes does not extend the time limit, so that occasional bytes do not keep an
   * incomplete request. A head is complete within a few of these or not at all.
   */
  private static final int MIN_PROGRESS_BYTES = 1_024;

  private final long number;
  private long heldBytes;
  private long progressBytes;
  private long stepStartedMillis;
  private long lastProgressMillis;
  private boolean waiting;

  ConnectionState(long number, long nowMillis) {
    this.number = number;
    this.stepStartedMillis = nowMillis;
    this.lastProgressMillis = nowMillis;
  }

  long number() {
    return number;
  }

  long heldBytes() {
    return heldBytes;
  }

  /** Tells whether the listener waits for the client to send or to read something. */
  boolean isWaiting() {
    return waiting;
  }

  /** Returns whether less than the minimum has been received or read for the given time. */
  boolean isStalled(long nowMillis, long limitMillis) {
    return waiting && nowMillis - stepStartedMillis >= limitMillis;
  }

  long silentMillis(long nowMillis) {
    return nowMillis - lastProgressMillis;
  }

  void update(long held, long movedBytes, boolean waitsForClient, boolean inHead, long nowMillis) {
    heldBytes = held;
    if (movedBytes > 0) {
      lastProgressMillis = nowMillis;
    }
    progressBytes += movedBytes;
    boolean enough = !inHead && progressBytes >= MIN_PROGRESS_BYTES;
    if (!waiting || !waitsForClient || enough) {
      progressBytes = 0;
      stepStartedMillis = nowMillis;
    }
    waiting = waitsForClient;
  }
}
