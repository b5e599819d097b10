package org.knapweedcleat.core.directory;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body of a request
 * @param headerTimeoutMillis the longest time from a head's first byte to its last
 * @param idleTimeoutMillis how long a connection may be idle
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** In force until a configuration is known; as the usual limits of HTTP servers. */
  public static final RequestLimits INITIAL = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
