package org.knapweedcleat.router.forward.codec;

/**
 * How many tokens a request says it needs.
 *
 * @param promptTokens the tokens of its prompt
 * @param maxOutputTokens the most tokens that are produced
 */
public record TokenUsage(long promptTokens, long maxOutputTokens) {

  /** The part of the longest answer that is kept free for a request that begins. */
  private static final double FIRST_OUTPUT_PART = 0.15;

  /**
   * Returns how many tokens of an engine's memory a request needs to begin.
   *
   * @return the prompt and the beginning of the answer
   */
  public long firstMemory() {
    return promptTokens + firstOutput();
  }

  /**
   * Returns how many tokens of the answer are counted before they are produced.
   *
   * @return the beginning of the answer
   */
  public long firstOutput() {
    return Math.round(maxOutputTokens * FIRST_OUTPUT_PART);
  }

  /**
   * Returns all tokens.
   *
   * @return prompt and output together
   */
  public long total() {
    return promptTokens + maxOutputTokens;
  }
}
