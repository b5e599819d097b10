package org.knapweedcleat.router.caller;

/**
 * Limits on requests from callers.
 *
 * @param maxBodyBytes the maximum size of a request body
 * @param maxHeaderBytes the maximum total size of request headers
 * @param maxInFlight the maximum number of concurrent requests
 * @param drainTimeoutMillis how long a drain waits for requests in progress
 */
public record CallerLimits(
    int maxBodyBytes, int maxHeaderBytes, int maxInFlight, int drainTimeoutMillis) {

  /** Checks that the sizes and the number of concurrent requests are at least 1. */
  public CallerLimits {
    if (maxBodyBytes < 1 || maxHeaderBytes < 1 || maxInFlight < 1) {
      throw new IllegalArgumentException("sizes and request count must be at least 1");
    }
  }
}
