package org.knapweedcleat.core.intake;

/** The memory that is held for one connection, and when its caller last made progress. */
public final class HeldMemory {

  private final long number;
  private final String caller;
  private long partialBytes;
  private long completeBytes;
  private long responseBytes;
  private long announcedBytes;
  private long progressMillis;
  private long stoppedMillis = -1;
  private boolean hasPartialRequest;
  private boolean hasSent;

  HeldMemory(long number, String caller, long nowMillis) {
    this.number = number;
    this.caller = caller;
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
   * Returns the caller's address.
   *
   * @return the address, for log lines
   */
  public String caller() {
    return caller;
  }

  /**
   * Returns all memory held for the connection, which itself counts, too.
   *
   * @return the estimated heap in bytes
   */
  public long totalBytes() {
    return HeapCost.CONNECTION_BYTES + partialBytes + completeBytes + responseBytes;
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

  /** Returns the memory that becomes free if the partial request and the responses are ended. */
  long evictableBytes() {
    return partialBytes + responseBytes;
  }

  /**
   * Returns for how long the caller has neither sent nor read, without the time it was stopped.
   *
   * @param nowMillis the current time
   * @return the time in milliseconds
   */
  public long stalledMillis(long nowMillis) {
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

  void cancelStop() {
    stoppedMillis = -1;
  }

  void resume(long nowMillis) {
    progressMillis += stoppedForMillis(nowMillis);
    stoppedMillis = -1;
  }
}
