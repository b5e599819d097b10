package org.knapweedcleat.core.transfer;

/** Works out how much decode memory a request needs. */
public final class ReservationSize {

  private static final int PIECE_TOKENS = 1_000;

  private ReservationSize() {}

  /**
   * Returns the pieces of memory that a prompt and its answer fill.
   *
   * @param promptTokens the length of the prompt, at least 0
   * @param maxTokens the length limit of the answer, at least 1
   * @return the pieces, rounded up
   */
  public static int requiredPieces(int promptTokens, int maxTokens) {
    long tokens = (long) promptTokens + maxTokens;
    return Math.toIntExact((tokens + PIECE_TOKENS - 1) / PIECE_TOKENS);
  }
}
