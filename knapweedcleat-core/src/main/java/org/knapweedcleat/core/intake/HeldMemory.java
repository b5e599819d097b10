package org.knapweedcleat.core.intake;

/** The memory that is held for one connection, and when its caller last made progress. */
public final class HeldMemory {

  private final long number;
  private long partialBytes;
  private long completeBytes;
  private long responseBytes;
  private long announcedBytes;
  private long progressMillis;
  private long stoppedMillis = -1;
  private boolean hasPartialRequest;
  private boolean hasSent;

  HeldMemory(long number, long nowMillis) {
    this.number = number;
    this.progressMillis = nowMillis;
  }

  /**
   * Returns the connection's number, counted from the start of the process.
   *
   * @return the number
   */
  public long number() {
    return number;
  }

  /**
   * Returns all memory held for the connection.
   *
   * @return the estimated heap in bytes
   */
  public long totalBytes() {
    return partialBytes + completeBytes + responseBytes;
  }

  /**
   * Returns the memory held for a response that the caller has not read.
   *
   * @return the number of bytes
   */
  public long responseBytes() {
    return responseBytes;
  }

  /**
   * Returns whether the connection is not read until memory becomes free.
   *
   * @return true from the stop to the resumption
   */
  public boolean isStopped() {
    return stoppedMillis >= 0;
  }

  /** Tells whether ending the connection's present request or response would free memory. */
  boolean isEvictable() {
    return hasPartialRequest || responseBytes > 0;
  }

  /** Tells whether most of the evictable memory belongs to a response. */
  boolean holdsResponse() {
    return responseBytes > partialBytes;
  }

  boolean hasPartialRequest() {
    return hasPartialRequest;
  }

  boolean hasSent() {
    return hasSent;
  }

  /** Returns what a partial request is expected to hold in the end. */
  long expectedBytes() {
    return hasPartialRequest ? Math.max(announcedBytes, partialBytes) : 0;
  }

  /** Returns for how long the caller has neither sent nor read, without the time it was stopped. */
  long stalledMillis(long nowMillis) {
    return (isStopped() ? stoppedMillis : nowMillis) - progressMillis;
  }

  long stoppedForMillis(long nowMillis) {
    return isStopped() ? nowMillis - stoppedMillis : 0;
  }

  void announce(long bytes) {
    announcedBytes = bytes;
  }

  void recordProgress(long nowMillis) {
    progressMillis = nowMillis;
    hasSent = true;
  }

  void hold(boolean isPartial, long newPartialBytes, long newCompleteBytes, long newResponseBytes) {
    hasPartialRequest = isPartial;
    partialBytes = newPartialBytes;
    completeBytes = newCompleteBytes;
    responseBytes = newResponseBytes;
    if (!isPartial) {
      announcedBytes = 0;
    }
  }

  void stop(long nowMillis) {
    if (!isStopped()) {
      stoppedMillis = nowMillis;
    }
  }

  void resume(long nowMillis) {
    progressMillis += stoppedForMillis(nowMillis);
    stoppedMillis = -1;
  }
}
