package org.knapweedcleat.core.balance;

/** How an engine failed a stream that a {@link StreamCapacityAllocator} had placed there. */
public enum EngineFault {
  /** Its connection was lost, or it did not react. */
  LOST {
    @Override
    public void updateHealth(long nowMillis, EndpointHealth health) {
      health.markReportedUnreachable(nowMillis);
    }
  },
  /** Another engine answers at its address, or it does no such work. */
  MISDIRECTED {
    @Override
    public void updateHealth(long nowMillis, EndpointHealth health) {
      health.markMisdirected(nowMillis);
    }
  },
  /** It refused, mostly for want of room. */
  REFUSED {
    @Override
    public void updateHealth(long nowMillis, EndpointHealth health) {
      health.markFull(nowMillis);
    }
  };

  /**
   * Notes the fault.
   *
   * @param nowMillis the time
   * @param health the engine's health
   */
  public abstract void updateHealth(long nowMillis, EndpointHealth health);
}
