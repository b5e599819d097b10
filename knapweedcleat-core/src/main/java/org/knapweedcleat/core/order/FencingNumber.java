package org.knapweedcleat.core.order;

import org.knapweedcleat.core.id.Revision;

/**
 * A fencing token that orders engine commands by age, so that engines can reject outdated ones.
 *
 * <p>Numbers are compared by document revision first and by membership epoch second.
 *
 * @param revision the revision of the document that the order is derived from
 * @param epoch the membership epoch of the scheduler that sends the order, at least 0
 */
public record FencingNumber(Revision revision, long epoch) implements Comparable<FencingNumber> {

  private static final int EPOCH_BITS = 24;
  private static final long MAX_EPOCH = (1L << EPOCH_BITS) - 1;

  /** Checks that the epoch is not negative. */
  public FencingNumber {
    if (epoch < 0) {
      throw new IllegalArgumentException("epoch must not be negative: " + epoch);
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
   * Returns the number as engines compare it. Epochs above 2^24 - 1 are treated as 2^24 - 1.
   *
   * @return a number that is higher for newer orders
   */
  public long toLong() {
    return revision.number() << EPOCH_BITS | Math.min(epoch, MAX_EPOCH);
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(toLong(), other.toLong());
  }
}
