package org.knapweedcleat.core.order;

import org.knapweedcleat.core.id.Revision;

/**
 * Tells a newer order from an older one.
 *
 * <p>Orders of a later document always go before those of an earlier one; under one document, those
 * of a later membership epoch do.
 *
 * @param revision the revision of the document that declares what is ordered
 * @param epoch the membership epoch of the scheduler that gives the order, at least 0
 */
public record FencingNumber(Revision revision, long epoch) implements Comparable<FencingNumber> {

  private static final int EPOCH_BITS = 24;
  private static final long MAX_EPOCH = (1L << EPOCH_BITS) - 1;

  /** Checks the epoch. */
  public FencingNumber {
    if (epoch < 0) {
      throw new IllegalArgumentException("epoch below 0: " + epoch);
    }
  }

  /**
   * Returns a fencing number.
   *
   * @param revision the revision of the document
   * @param epoch the membership epoch, at least 0
   * @return the number
   * @throws IllegalArgumentException if the epoch is negative
   */
  public static FencingNumber of(Revision revision, long epoch) {
    return new FencingNumber(revision, epoch);
  }

  /**
   * Returns the number as endpoints compare it; epochs above 2^24 - 1 count as that one.
   *
   * @return a number that is higher for a newer order
   */
  public long toLong() {
    return revision.number() << EPOCH_BITS | Math.min(epoch, MAX_EPOCH);
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(toLong(), other.toLong());
  }
}
