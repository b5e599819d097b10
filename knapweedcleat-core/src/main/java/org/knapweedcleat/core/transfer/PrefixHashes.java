package org.knapweedcleat.core.transfer;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes FNV-1a-style hashes of the leading blocks of a prompt. Prompts with equal beginnings
 * have equal leading hashes.
 */
public final class PrefixHashes {

  /** The number of words per hashed block. */
  public static final int BLOCK_WORDS = 64;

  private static final int MAX_HASHES = 256;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private PrefixHashes() {}

  /**
   * Splits a prompt into words.
   *
   * @param prompt the prompt
   * @return the words, which are separated by whitespace
   */
  public static List<String> words(String prompt) {
    String stripped = prompt.strip();
    return stripped.isEmpty() ? List.of() : List.of(stripped.split("\\s+"));
  }

  /**
   * Returns the chained hashes of the complete leading blocks of a prompt, up to a maximum number
   * of hashes.
   *
   * @param words the prompt's words
   * @return one hash per block, shortest prefix first
   */
  public static List<Long> of(List<String> words) {
    List<Long> hashes = new ArrayList<>();
    long hash = FNV_OFFSET;
    int blocks = Math.min(words.size() / BLOCK_WORDS, MAX_HASHES);
    for (int block = 0; block < blocks; block++) {
      for (String word : words.subList(block * BLOCK_WORDS, (block + 1) * BLOCK_WORDS)) {
        hash = appendWord(hash, word);
      }
      hashes.add(hash);
    }
    return List.copyOf(hashes);
  }

  private static long appendWord(long previousHash, String word) {
    long hash = previousHash;
    for (int i = 0; i < word.length(); i++) {
      hash = (hash ^ word.charAt(i)) * FNV_PRIME;
    }
    return (hash ^ ' ') * FNV_PRIME;
  }
}
