package org.knapweedcleat.router.forward.http;

/** Tells how many connections this instance may have open to an endpoint. */
@FunctionalInterface
public interface ConnectionLimits {

  /**
   * Returns the current limit.
   *
   * @param address the endpoint's address as {@code host:port}
   * @return the number of connections, {@link Integer#MAX_VALUE} if it is not limited
   */
  int maxConnections(String address);
}
