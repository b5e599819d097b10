package org.knapweedcleat.core.balance;

/** Distance classes between two failure domains, with their costs in request placement. */
public enum NetworkDistance {
  /** The same failure domain. */
  SAME_DOMAIN(0, 0),
  /** Different failure domains in the same region. */
  SAME_REGION(3, 10),
  /** Different regions. */
  OTHER_REGION(65, 60);

  /** Round-trip time of a message and its reply. */
  private final int roundTripMillis;

  /** Placement penalty of a KV cache transfer, for its duration and its cost. */
  private final int transferCostMillis;

  NetworkDistance(int roundTripMillis, int transferMillis) {
    this.roundTripMillis = roundTripMillis;
    this.transferCostMillis = transferMillis;
  }

  /**
   * Returns the network round-trip time.
   *
   * @return milliseconds
   */
  public int roundTripMillis() {
    return roundTripMillis;
  }

  /**
   * Returns the penalty that a KV cache transfer over this distance adds when placements are
   * compared.
   *
   * @return milliseconds
   */
  public int transferCostMillis() {
    return transferCostMillis;
  }
}
