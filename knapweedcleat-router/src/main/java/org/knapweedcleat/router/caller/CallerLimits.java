package org.knapweedcleat.router.caller;

/**
 * Bounds what callers can make an instance hold.
 *
 * @param maxBodyBytes the longest body
 * @param maxHeaderBytes the most bytes of headers
 * @param maxInFlight the most requests at once
 */
public record CallerLimits(int maxBodyBytes, int maxHeaderBytes, int maxInFlight) {

  /** Checks that each is at least 1. */
  public CallerLimits {
    if (maxBodyBytes < 1 || maxHeaderBytes < 1 || maxInFlight < 1) {
      throw new IllegalArgumentException("limits below 1");
    }
  }
}
