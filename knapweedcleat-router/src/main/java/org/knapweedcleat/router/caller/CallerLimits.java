package org.knapweedcleat.router.caller;

/**
 * Bounds what callers can make an instance hold.
 *
 * @param maxBodyBytes the longest body
 * @param maxHeaderBytes the most bytes of headers
 * @param maxInFlight the most requests at once
 * @param drainTimeoutMillis how long a planned stop waits for running requests
 */
public record CallerLimits(
    int maxBodyBytes, int maxHeaderBytes, int maxInFlight, int drainTimeoutMillis) {

  /** Checks that each is at least 1. */
  public CallerLimits {
    if (maxBodyBytes < 1 || maxHeaderBytes < 1 || maxInFlight < 1) {
      throw new IllegalArgumentException("limits below 1");
    }
  }
}
