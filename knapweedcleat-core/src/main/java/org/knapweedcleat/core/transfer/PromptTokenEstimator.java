package org.knapweedcleat.core.transfer;

/** Counts the tokens of a prompt before an engine has read it. */
public final class PromptTokenEstimator {

  private static final int CHARS_PER_TOKEN = 4;

  private PromptTokenEstimator() {}

  /**
   * Counts the tokens as engines do: one for each four characters, rounded up.
   *
   * @param prompt the prompt
   * @return the count, at least 1
   */
  public static int estimate(String prompt) {
    return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
  }
}
