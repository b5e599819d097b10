package org.knapweedcleat.core.startup;

/**
 * What an instance knows of the fleet.
 *
 * @param large whether the fleet has allocators
 * @param told the other instances that there are according to one that has told; 0 if none has
 * @param known the other instances that may be alive
 * @param live the other instances that were heard recently
 * @param reported the other instances whose load is known
 * @param allocatorReachable whether an allocator can be asked
 */
public record FleetKnowledge(
    boolean large, int told, int known, int live, int reported, boolean allocatorReachable) {

  /** The fraction of the other instances whose load has to be known; some may have just died. */
  private static final double SUFFICIENT_FRACTION = 0.9;

  /**
   * Returns the number of instances among which the endpoints are divided: this one and all others
   * whose load is not known.
   *
   * @return at least 1
   */
  public int sharers() {
    return 1 + Math.max(0, Math.max(told, known) - reported);
  }

  /**
   * Returns whether the load of the endpoints is known, and who places streams.
   *
   * @return true if the load of nearly all other instances is known and an allocator is reachable
   */
  public boolean isSufficient() {
    return allocatorReachable && reported >= known * SUFFICIENT_FRACTION;
  }
}
