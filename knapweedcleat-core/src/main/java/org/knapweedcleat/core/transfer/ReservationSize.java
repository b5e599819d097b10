package org.knapweedcleat.core.transfer;

/** Computes the decode memory that a request needs. */
public final class ReservationSize {

  private static final int PIECE_TOKENS = 1_000;

  private ReservationSize() {}

  /**
   * Returns the number of memory pieces needed for a prompt and its answer.
   *
   * @param promptTokens the number of tokens in the prompt, at least 0
   * @param maxTokens the token limit of the answer, at least 1
   * @return the number of pieces, rounded up
   */
  public static int requiredPieces(int promptTokens, int maxTokens) {
    long tokens = (long) promptTokens + maxTokens;
    return Math.toIntExact((tokens + PIECE_TOKENS - 1) / PIECE_TOKENS);
  }
}
