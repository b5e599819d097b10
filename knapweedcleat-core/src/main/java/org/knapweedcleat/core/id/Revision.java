package org.knapweedcleat.core.id;

/**
 * The revision of the configuration document. The platform assigns revisions in ascending order.
 *
 * @param number the revision number, 0 for none
 */
public record Revision(long number) implements Comparable<Revision> {

  /** The revision before any document is published. */
  public static final Revision NONE = new Revision(0);

  /** Checks that the number is not negative. */
  public Revision {
    if (number < 0) {
      throw new IllegalArgumentException("revision must not be negative: " + number);
    }
  }

  /**
   * Returns the revision with the given number.
   *
   * @param number the revision number, at least 0
   * @return the revision
   * @throws IllegalArgumentException if the number is negative
   */
  public static Revision of(long number) {
    return new Revision(number);
  }

  /**
   * Returns whether this revision supersedes another.
   *
   * @param other the other revision
   * @return true if this one is higher
   */
  public boolean isAfter(Revision other) {
    return number > other.number;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
