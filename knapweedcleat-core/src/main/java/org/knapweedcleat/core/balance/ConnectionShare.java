package org.knapweedcleat.core.balance;

/** Divides the connections that an endpoint accepts among the instances of the fleet. */
public final class ConnectionShare {

  /**
   * The least share. With fewer, an instance with a burst of short calls to one endpoint would send
   * them one after the other; large fleets thus may exceed the endpoint's number together.
   */
  static final int MIN_CONNECTIONS = 4;

  private ConnectionShare() {}

  /**
   * Returns how many connections an instance may have open to one endpoint.
   *
   * @param maxConnections the number that the endpoint accepts from all instances together
   * @param liveInstances the number of live instances, including this one
   * @return the share, at least {@link #MIN_CONNECTIONS} unless the endpoint accepts fewer
   */
  public static int of(int maxConnections, int liveInstances) {
    int share = maxConnections / Math.max(1, liveInstances);
    return Math.max(1, Math.min(maxConnections, Math.max(MIN_CONNECTIONS, share)));
  }
}
