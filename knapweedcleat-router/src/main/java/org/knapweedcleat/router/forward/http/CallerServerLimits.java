package org.knapweedcleat.router.forward.http;

import org.knapweedcleat.core.intake.CallerLimits;

/**
 * The limits of a server for callers, as they follow from its settings and its process.
 *
 * @param own the limits that the settings name
 * @param memoryBytes the memory held for callers
 * @param maxConnections the number of open connections
 * @param maxPartialRequests the number of connections with a partly received request
 */
public record CallerServerLimits(
    CallerLimits own, long memoryBytes, int maxConnections, int maxPartialRequests) {

  /** Bounds neither memory nor numbers. */
  public static final CallerServerLimits UNBOUNDED =
      new CallerServerLimits(
          CallerLimits.DEFAULT, Long.MAX_VALUE / 4, Integer.MAX_VALUE, Integer.MAX_VALUE);

  /**
   * Returns the limits of a process.
   *
   * @param own the limits that its settings name
   * @param heapBytes the maximum size of its heap
   * @param descriptors the number of descriptors that it may open
   * @return the limits
   */
  public static CallerServerLimits of(CallerLimits own, long heapBytes, long descriptors) {
    long memoryBytes = own.memoryBytes(heapBytes);
    int connections = own.connections(descriptors, memoryBytes);
    int partial = own.maxPartialRequests() > 0 ? own.maxPartialRequests() : connections;
    return new CallerServerLimits(own, memoryBytes, connections, partial);
  }
}
