package org.knapweedcleat.core.startup;

import java.util.Comparator;

/**
 * A call that asks to be admitted by an instance that has just started.
 *
 * @param number identifies the call in its instance; later calls have higher numbers
 * @param rank its rank; 0 is the most urgent
 * @param memoryTokens the engine memory that it needs; 0 for a plain call
 * @param arrivedMillis when it arrived
 * @param targetAtMillis when its response has to begin to be on time; in the past for a late call
 * @param refuseAtMillis when it is refused if it was not admitted
 */
public record StartingCall(
    long number,
    int rank,
    long memoryTokens,
    long arrivedMillis,
    long targetAtMillis,
    long refuseAtMillis) {

  /** The order of admission: by rank, then by target, as in an allocator's queue. */
  static final Comparator<StartingCall> ORDER =
      Comparator.comparingInt(StartingCall::rank)
          .thenComparingLong(StartingCall::targetAtMillis)
          .thenComparingLong(StartingCall::number);
}
