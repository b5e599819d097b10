package org.knapweedcleat.core.balance;

/** How an engine failed a stream that a {@link StreamCapacityAllocator} placed on it. */
public enum EngineFault {
  /** The connection was lost, or the engine did not respond. */
  LOST {
    @Override
    public void updateHealth(long nowMillis, EndpointHealth health) {
      health.markReportedUnreachable(nowMillis);
    }
  },
  /** Another engine answers at the address, or this one does not serve the requested stage. */
  MISDIRECTED {
    @Override
    public void updateHealth(long nowMillis, EndpointHealth health) {
      health.markMisdirected(nowMillis);
    }
  },
  /** The engine refused the stream, usually for lack of capacity. */
  REFUSED {
    @Override
    public void updateHealth(long nowMillis, EndpointHealth health) {
      health.markFull(nowMillis);
    }
  };

  /**
   * Updates the health of the engine.
   *
   * @param nowMillis the current time
   * @param health the health of the engine
   */
  public abstract void updateHealth(long nowMillis, EndpointHealth health);
}
