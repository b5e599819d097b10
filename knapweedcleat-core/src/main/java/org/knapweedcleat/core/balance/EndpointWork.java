package org.knapweedcleat.core.balance;

/**
 * Work that was given to an endpoint and has not ended.
 *
 * @param calls the calls
 * @param promptTokens the tokens of prompts that have still to be read
 * @param memoryTokens the tokens that the calls occupy, or will, in the endpoint's memory
 */
public record EndpointWork(int calls, long promptTokens, long memoryTokens) {

  /** No work. */
  public static final EndpointWork NONE = new EndpointWork(0, 0, 0);

  /**
   * Adds work.
   *
   * @param other more work
   * @return the sum
   */
  public EndpointWork plus(EndpointWork other) {
    return new EndpointWork(
        calls + other.calls, promptTokens + other.promptTokens, memoryTokens + other.memoryTokens);
  }

  /**
   * Returns the larger of each figure.
   *
   * @param other other work
   * @return what both are within
   */
  public EndpointWork max(EndpointWork other) {
    return new EndpointWork(
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
  public EndpointWork minus(EndpointWork other) {
    return new EndpointWork(
        Math.max(0, calls - other.calls),
        Math.max(0, promptTokens - other.promptTokens),
        Math.max(0, memoryTokens - other.memoryTokens));
  }
}
