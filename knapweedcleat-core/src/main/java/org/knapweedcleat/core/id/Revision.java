package org.knapweedcleat.core.id;

/**
 * Counts the versions of the published document; the platform gives them and they only rise.
 *
 * @param number the count, 0 for "none yet"
 */
public record Revision(long number) implements Comparable<Revision> {

  /** No document has been published yet. */
  public static final Revision NONE = new Revision(0);

  /** Checks that the count is not negative. */
  public Revision {
    if (number < 0) {
      throw new IllegalArgumentException("revision below 0: " + number);
    }
  }

  /**
   * Returns the revision with the given count.
   *
   * @param number the count, at least 0
   * @return the revision
   * @throws IllegalArgumentException if the count is negative
   */
  public static Revision of(long number) {
    return new Revision(number);
  }

  /**
   * Tells whether this revision replaces another.
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
