package org.knapweedcleat.core.balance;

/**
 * Unfinished work of an endpoint.
 *
 * @param calls the number of calls
 * @param promptTokens the prompt tokens still to be prefilled
 * @param memoryTokens the tokens that the calls occupy, or will occupy, in the endpoint's memory
 */
public record EndpointWorkload(int calls, long promptTokens, long memoryTokens) {

  /** An idle endpoint. */
  public static final EndpointWorkload NONE = new EndpointWorkload(0, 0, 0);

  /**
   * Returns the sum of this and another workload.
   *
   * @param other the workload to add
   * @return the sum
   */
  public EndpointWorkload plus(EndpointWorkload other) {
    return new EndpointWorkload(
        calls + other.calls, promptTokens + other.promptTokens, memoryTokens + other.memoryTokens);
  }

  /**
   * Returns the maximum of each component.
   *
   * @param other the other workload
   * @return the componentwise maximum
   */
  public EndpointWorkload max(EndpointWorkload other) {
    return new EndpointWorkload(
        Math.max(calls, other.calls),
        Math.max(promptTokens, other.promptTokens),
        Math.max(memoryTokens, other.memoryTokens));
  }

  /**
   * Returns the difference to another workload.
   *
   * @param other the workload to subtract
   * @return the componentwise difference, at least 0
   */
  public EndpointWorkload minus(EndpointWorkload other) {
    return new EndpointWorkload(
        Math.max(0, calls - other.calls),
        Math.max(0, promptTokens - other.promptTokens),
        Math.max(0, memoryTokens - other.memoryTokens));
  }
}
