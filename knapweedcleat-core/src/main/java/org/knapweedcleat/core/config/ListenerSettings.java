package org.knapweedcleat.core.config;

import org.knapweedcleat.core.listener.ListenerLimits;

/**
 * Limits of the listeners of an instance, each with memory of its own.
 *
 * @param checkConnections the connections to each listener for operators and checks
 * @param peerConnections the connections from other instances
 * @param maxHeaderLines the header lines of a request, and the trailer lines
 * @param memoryKilobytes the heap that clients of one listener may hold; 0 for an eighth of it
 * @param requestMillis the time for a head, and for each further kilobyte of a body or response
 */
public record ListenerSettings(
    int checkConnections,
    int peerConnections,
    int maxHeaderLines,
    int memoryKilobytes,
    int requestMillis) {

  private static final int KILOBYTE = 1_024;
  private static final int HEAP_PART = 8;

  /**
   * Returns the limits of a listener.
   *
   * @param maxConnections the connections to the listener
   * @param heapBytes the size of the heap
   * @return the limits
   */
  public ListenerLimits limits(int maxConnections, long heapBytes) {
    long memoryBytes =
        memoryKilobytes > 0 ? (long) memoryKilobytes * KILOBYTE : heapBytes / HEAP_PART;
    return new ListenerLimits(maxConnections, maxHeaderLines, memoryBytes, requestMillis);
  }
}
