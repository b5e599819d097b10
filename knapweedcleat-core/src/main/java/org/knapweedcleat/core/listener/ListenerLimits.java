package org.knapweedcleat.core.listener;

/**
 * Limits of one listener.
 *
 * @param maxConnections the maximum number of open connections
 * @param maxHeaderLines the maximum number of header lines of a request
 * @param memoryBytes the heap that incomplete requests and unread responses may occupy together
 * @param requestMillis the time limit for a head, and for each further part of a body
 */
public record ListenerLimits(
    int maxConnections, int maxHeaderLines, long memoryBytes, int requestMillis) {

  /** Checks that all limits are positive. */
  public ListenerLimits {
    if (maxConnections < 1 || maxHeaderLines < 1 || memoryBytes < 1 || requestMillis < 1) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }
}
