package org.knapweedcleat.core.room;

/**
 * A call that asks for engine capacity.
 *
 * @param key identifies the call
 * @param started whether work has been done for it that is lost if it does not go on soon
 * @param rank its rank; 0 is the most urgent
 * @param account its client account; empty if it has none
 * @param memoryTokens the engine memory that it needs
 * @param arrivedMillis when it arrived at its holder
 * @param heardMillis when its holder last asked
 * @param targetAtMillis when its first event has to come to be on time; in the past for a call that
 *     returned after a refusal
 * @param refuseAtMillis when it is refused if it has not been placed
 */
public record QueuedCall(
    CallKey key,
    boolean started,
    int rank,
    String account,
    long memoryTokens,
    long arrivedMillis,
    long heardMillis,
    long targetAtMillis,
    long refuseAtMillis) {

  /**
   * Returns whether the call can still be on time.
   *
   * @param nowMillis the current time
   * @param startMillis the expected time from the placement to the first event
   * @return false if its first event would be late
   */
  public boolean canBeOnTime(long nowMillis, double startMillis) {
    return nowMillis + startMillis <= targetAtMillis;
  }
}
