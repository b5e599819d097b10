package org.knapweedcleat.router.forward.codec;

/**
 * How many tokens a request says it needs.
 *
 * @param promptTokens the tokens of its prompt
 * @param maxOutputTokens the most tokens that are produced
 */
public record TokenUsage(long promptTokens, long maxOutputTokens) {

  /** The part of the longest answer that is kept free for a request that begins. */
  private static final double INITIAL_OUTPUT_FRACTION = 0.15;

  /**
   * Returns how many tokens of an engine's memory a request needs to begin.
   *
   * @return the prompt and the beginning of the answer
   */
  public long initialMemoryTokens() {
    return promptTokens + initialOutputTokens();
  }

  /**
   * Returns how many tokens of the answer are counted before they are produced.
   *
   * @return the beginning of the answer
   */
  public long initialOutputTokens() {
    return Math.round(maxOutputTokens * INITIAL_OUTPUT_FRACTION);
  }

  /**
   * Returns all tokens.
   *
   * @return prompt and output together
   */
  public long totalTokens() {
    return promptTokens + maxOutputTokens;
  }
}
