package org.knapweedcleat.router.forward.codec;

/**
 * How many tokens a request says it needs.
 *
 * @param promptTokens the tokens of its prompt
 * @param maxOutputTokens the most tokens that are produced
 */
public record TokenUsage(long promptTokens, long maxOutputTokens) {

  /** The part of the longest answer that a running request has produced on average. */
  private static final double MEAN_OUTPUT_PART = 0.35;

  /**
   * Returns how many tokens of an engine's memory a request occupies on average while it runs.
   *
   * @return the prompt and a part of the longest answer
   */
  public long meanMemory() {
    return promptTokens + Math.round(maxOutputTokens * MEAN_OUTPUT_PART);
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
