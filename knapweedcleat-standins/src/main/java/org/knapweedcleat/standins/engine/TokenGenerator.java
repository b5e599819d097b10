package org.knapweedcleat.standins.engine;

import java.util.List;

/** Generates deterministic output that depends only on the prompt and the position. */
public final class TokenGenerator {

  private static final int CHARS_PER_TOKEN = 4;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final List<String> WORDS =
      List.of(
          "breath horn valley slow reed calm peak low note warm lip bell echo long soft hill"
              .concat(" morning scale jar lid brine week return even clear count ledger home")
              .concat(" line rest open hold")
              .split(" "));

  private TokenGenerator() {}

  /**
   * Derives the seed of a prompt's output.
   *
   * @param prompt the prompt
   * @return the FNV-1a style hash of the prompt
   */
  public static long seed(String prompt) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < prompt.length(); i++) {
      hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /**
   * Returns the text of a token.
   *
   * @param seed the prompt's seed
   * @param position the position in the output, from 0
   * @return the token followed by a space
   */
  public static String tokenAt(long seed, int position) {
    long mixed = (seed + position) * MIX_MULTIPLIER;
    mixed ^= mixed >>> 29;
    int index = (int) Long.remainderUnsigned(mixed * MIX_MULTIPLIER >>> 7, WORDS.size());
    return WORDS.get(index) + " ";
  }

  /**
   * Returns the complete output for a prompt.
   *
   * @param prompt the prompt
   * @param tokens the length of the output in tokens
   * @return the text
   */
  public static String output(String prompt, int tokens) {
    long seed = seed(prompt);
    StringBuilder text = new StringBuilder();
    for (int position = 0; position < tokens; position++) {
      text.append(tokenAt(seed, position));
    }
    return text.toString();
  }

  /**
   * Estimates the number of tokens in a prompt.
   *
   * @param prompt the prompt
   * @return the number of tokens, at least 1
   */
  public static int countPromptTokens(String prompt) {
    return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
  }
}
