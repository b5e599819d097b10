package org.knapweedcleat.core.limit;

/**
 * Names one acquisition of tokens.
 *
 * @param number a number that no other acquisition of the same incarnation has
 */
public record DrawId(long number) {

  /**
   * Returns the id with the given number.
   *
   * @param number a number that no other acquisition of the same incarnation has
   * @return the id
   */
  public static DrawId of(long number) {
    return new DrawId(number);
  }
}
