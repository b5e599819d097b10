package org.knapweedcleat.core.balance;

/** How an engine failed a stream that a {@link RoomKeeper} had placed there. */
public enum EngineFault {
  /** Its connection was lost, or it did not react. */
  LOST {
    @Override
    public void note(long nowMillis, EndpointHealth health) {
      health.doubted(nowMillis);
    }
  },
  /** Another engine answers at its address, or it does no such work. */
  MISDIRECTED {
    @Override
    public void note(long nowMillis, EndpointHealth health) {
      health.turnedAway(nowMillis);
    }
  },
  /** It refused, mostly for want of room. */
  REFUSED {
    @Override
    public void note(long nowMillis, EndpointHealth health) {
      health.full(nowMillis);
    }
  };

  /**
   * Notes the fault.
   *
   * @param nowMillis the time
   * @param health the engine's health
   */
  public abstract void note(long nowMillis, EndpointHealth health);
}
