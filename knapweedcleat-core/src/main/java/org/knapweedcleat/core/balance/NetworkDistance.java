package org.knapweedcleat.core.balance;

/** How far two failure domains are from each other, and what that costs. */
public enum NetworkDistance {
  /** The same failure domain. */
  SAME_DOMAIN(0, 0),
  /** Two failure domains of one region. */
  SAME_REGION(3, 10),
  /** Two regions. */
  OTHER_REGION(65, 60);

  /** The time of a question and its answer, from the delays that the brief states. */
  private final int roundTripMillis;

  /** What a transfer of KV cache is worth avoiding, from its longer time and price. */
  private final int transferCostMillis;

  NetworkDistance(int roundTripMillis, int transferMillis) {
    this.roundTripMillis = roundTripMillis;
    this.transferCostMillis = transferMillis;
  }

  /**
   * Returns the time of a question and its answer.
   *
   * @return milliseconds
   */
  public int roundTripMillis() {
    return roundTripMillis;
  }

  /**
   * Returns what a transfer of KV cache over the distance counts in a comparison of placements.
   *
   * @return milliseconds
   */
  public int transferCostMillis() {
    return transferCostMillis;
  }
}
