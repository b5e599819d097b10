package org.knapweedcleat.router.forward.codec;

/**
 * How many tokens a request says it needs.
 *
 * @param promptTokens the tokens of its prompt
 * @param maxOutputTokens the most tokens that are produced
 */
public record TokenUsage(long promptTokens, long maxOutputTokens) {

  /**
   * Returns all tokens.
   *
   * @return prompt and output together
   */
  public long total() {
    return promptTokens + maxOutputTokens;
  }
}
