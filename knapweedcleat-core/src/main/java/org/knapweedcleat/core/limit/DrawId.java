package org.knapweedcleat.core.limit;

/**
 * Identifies one acquisition of tokens.
 *
 * @param number a number that is unique within the incarnation
 */
public record DrawId(long number) {

  /**
   * Returns the id with the given number.
   *
   * @param number a number that is unique within the incarnation
   * @return the id
   */
  public static DrawId of(long number) {
    return new DrawId(number);
  }
}
