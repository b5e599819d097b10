package org.knapweedcleat.core.transfer;

/** Estimates the number of tokens in a prompt before prefill. */
public final class PromptTokenEstimator {

  private static final int CHARS_PER_TOKEN = 4;

  private PromptTokenEstimator() {}

  /**
   * Estimates the number of tokens as one per four characters, rounded up, like the engines do.
   *
   * @param prompt the prompt
   * @return the number of tokens, at least 1
   */
  public static int estimate(String prompt) {
    return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
  }
}
