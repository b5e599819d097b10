package org.knapweedcleat.core.locality;

import java.util.Set;
import org.knapweedcleat.core.id.FailureDomainId;

/**
 * Which calls of a service may leave their home domain now, and where they may go.
 *
 * @param fraction the fraction of calls that may leave, 0 to 1
 * @param destinations the other failure domains to which they may go
 */
public record Departure(double fraction, Set<FailureDomainId> destinations) {

  /** Copies the set. */
  public Departure {
    destinations = Set.copyOf(destinations);
  }

  /**
   * Returns whether one call may leave.
   *
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   * @return true for the given fraction of random numbers
   */
  public boolean mayLeave(double random) {
    return random < fraction;
  }
}
