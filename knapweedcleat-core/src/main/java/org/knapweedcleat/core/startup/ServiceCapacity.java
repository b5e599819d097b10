package org.knapweedcleat.core.startup;

import org.knapweedcleat.core.directory.EngineProfile;

/**
 * The calls that endpoints of a service hold at the same time.
 *
 * @param slots the number of calls
 * @param memoryTokens the tokens of all calls together; 0 if they are not limited
 */
public record ServiceCapacity(long slots, long memoryTokens) {

  /** The capacity of a service of which nothing is known; it is not limited. */
  public static final ServiceCapacity UNKNOWN = new ServiceCapacity(0, 0);

  /** The fraction of engine memory that calls which can be on time may fill. */
  private static final double USABLE_FRACTION = 0.93;

  /**
   * Returns the capacity of engines.
   *
   * @param engines the number of engines that run requests
   * @param profile the capacity of each
   * @return the capacity of all of them
   */
  public static ServiceCapacity ofEngines(int engines, EngineProfile profile) {
    return new ServiceCapacity(
        (long) engines * profile.slots(),
        (long) (engines * profile.memoryTokens() * USABLE_FRACTION));
  }

  /**
   * Divides the capacity among instances.
   *
   * @param sharers the number of instances
   * @return the share of each
   */
  public ServiceCapacity dividedBy(int sharers) {
    return isKnown()
        ? new ServiceCapacity(
            Math.max(1, slots / sharers),
            memoryTokens == 0 ? 0 : Math.max(1, memoryTokens / sharers))
        : this;
  }

  boolean isKnown() {
    return slots > 0;
  }

  /** Returns whether one more call fits; the first always does. */
  boolean fits(int calls, long usedTokens, long addedTokens) {
    return !isKnown()
        || calls == 0
        || (calls < slots && (memoryTokens == 0 || usedTokens + addedTokens <= memoryTokens));
  }
}
