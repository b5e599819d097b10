package org.knapweedcleat.core.id;

/**
 * A position in the history of a store of published items.
 *
 * <p>A store that is restored from a copy starts a new era: its revisions go back and are given out
 * again. Positions are therefore ordered by their eras first.
 *
 * @param era the number of the era, which rises with each restoration; 0 if it is unknown
 * @param revision the store's revision within the era, -1 in {@link #NONE}
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

  /** The position before all others, of an instance that has read nothing yet. */
  public static final StorePosition NONE = new StorePosition(0, -1);

  private static final int REVISION_BITS = 40;

  /** The highest revision. */
  public static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

  /** The highest era. */
  public static final long MAX_ERA = (1L << (Long.SIZE - 1 - REVISION_BITS)) - 1;

  /** The number of {@link #NONE}. */
  private static final long NONE_NUMBER = Long.MIN_VALUE;

  /** Checks the ranges. */
  public StorePosition {
    if (era < 0 || era > MAX_ERA) {
      throw new IllegalArgumentException("era must be from 0 to " + MAX_ERA + ": " + era);
    }
    if (revision < -1 || revision > MAX_REVISION) {
      throw new IllegalArgumentException(
          "revision must be from -1 to " + MAX_REVISION + ": " + revision);
    }
  }

  /**
   * Returns a position.
   *
   * @param era the era, from 0 to {@link #MAX_ERA}
   * @param revision the revision, from 0 to {@link #MAX_REVISION}
   * @return the position
   * @throws IllegalArgumentException if an argument is out of range
   */
  public static StorePosition of(long era, long revision) {
    return new StorePosition(era, revision);
  }

  /**
   * Decodes a position.
   *
   * @param number the result of {@link #toLong()}; a bare revision stands for one of unknown era, a
   *     negative number for no position
   * @return the position
   */
  public static StorePosition ofLong(long number) {
    return number < 0 ? NONE : new StorePosition(number >>> REVISION_BITS, number & MAX_REVISION);
  }

  /**
   * Encodes this position.
   *
   * @return a number that is higher for a later position, and the bare revision if the era is
   *     unknown
   */
  public long toLong() {
    return equals(NONE) ? NONE_NUMBER : (era << REVISION_BITS) | revision;
  }

  /**
   * Returns whether the era is known.
   *
   * @return false for positions of stores without eras, and of instances that know of none
   */
  public boolean hasEra() {
    return era > 0;
  }

  /**
   * Returns whether this position is of a later era than another. Between two positions of
   * different eras, changes may have been lost and made again.
   *
   * @param other the other position
   * @return true if the era is higher
   */
  public boolean isOfLaterEra(StorePosition other) {
    return era > other.era;
  }

  /**
   * Returns the later of two positions.
   *
   * @param other the other position
   * @return this position unless the other one is later
   */
  public StorePosition max(StorePosition other) {
    return compareTo(other) >= 0 ? this : other;
  }

  /**
   * Returns the earlier of two positions.
   *
   * @param other the other position
   * @return this position unless the other one is earlier
   */
  public StorePosition min(StorePosition other) {
    return compareTo(other) <= 0 ? this : other;
  }

  @Override
  public int compareTo(StorePosition other) {
    return era == other.era ? Long.compare(revision, other.revision) : Long.compare(era, other.era);
  }

  @Override
  public String toString() {
    return hasEra() ? era + "/" + revision : Long.toString(revision);
  }
}
