package org.knapweedcleat.core.balance;

/**
 * Work that was given to an endpoint and has not ended.
 *
 * @param calls the calls
 * @param promptTokens the tokens of prompts that have still to be read
 * @param memoryTokens the tokens that the calls occupy, or will, in the endpoint's memory
 */
public record EndpointWorkload(int calls, long promptTokens, long memoryTokens) {

  /** No work. */
  public static final EndpointWorkload NONE = new EndpointWorkload(0, 0, 0);

  /**
   * Adds work.
   *
   * @param other more work
   * @return the sum
   */
  public EndpointWorkload plus(EndpointWorkload other) {
    return new EndpointWorkload(
        calls + other.calls, promptTokens + other.promptTokens, memoryTokens + other.memoryTokens);
  }

  /**
   * Returns the larger of each figure.
   *
   * @param other other work
   * @return what both are within
   */
  public EndpointWorkload max(EndpointWorkload other) {
    return new EndpointWorkload(
        Math.max(calls, other.calls),
        Math.max(promptTokens, other.promptTokens),
        Math.max(memoryTokens, other.memoryTokens));
  }

  /**
   * Takes work away.
   *
   * @param other work that has ended
   * @return the rest, never negative
   */
  public EndpointWorkload minus(EndpointWorkload other) {
    return new EndpointWorkload(
        Math.max(0, calls - other.calls),
        Math.max(0, promptTokens - other.promptTokens),
        Math.max(0, memoryTokens - other.memoryTokens));
  }
}
