package org.knapweedcleat.router.forward.codec;

/**
 * The number of tokens that a request declares to need.
 *
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the maximum number of generated tokens
 */
public record TokenUsage(long promptTokens, long maxOutputTokens) {

  /** The fraction of the maximum output for which memory is reserved when a request starts. */
  private static final double INITIAL_OUTPUT_FRACTION = 0.15;

  /**
   * Returns how many tokens of engine memory a request needs to start.
   *
   * @return the prompt plus the first part of the output
   */
  public long initialMemoryTokens() {
    return promptTokens + initialOutputTokens();
  }

  /**
   * Returns how many output tokens are counted as used before they are generated.
   *
   * @return the first part of the output
   */
  public long initialOutputTokens() {
    return Math.round(maxOutputTokens * INITIAL_OUTPUT_FRACTION);
  }

  /**
   * Returns the total number of tokens.
   *
   * @return prompt plus maximum output
   */
  public long totalTokens() {
    return promptTokens + maxOutputTokens;
  }
}
