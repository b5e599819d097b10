package org.knapweedcleat.core.directory;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes the maximum length of a request head
 * @param maxBodyBytes the maximum length of a request body
 * @param headerTimeoutMillis the maximum time from the first to the last byte of a request head
 * @param idleTimeoutMillis the maximum time that a connection may be idle
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** Used until a configuration is known; similar to the defaults of common HTTP servers. */
  public static final RequestLimits INITIAL = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
