package org.knapweedcleat.core.room;

import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.id.EndpointId;

/** Places calls on engines and reserves what they need there. */
public interface CapacityPlacer {

  /**
   * Places a call.
   *
   * @param call the call
   * @param usableMemoryFraction the fraction of an engine's memory that the call may fill up to
   * @param avoided the engines that are kept for other calls
   * @return the engines, or empty if none has capacity
   */
  Optional<StreamPlacement> place(
      QueuedCall call, double usableMemoryFraction, Set<EndpointId> avoided);

  /**
   * Returns the engine that is likely to have capacity for a call first.
   *
   * @param call the call
   * @param avoided the engines that are kept for other calls
   * @return the least filled engine that may run the call, or empty if there is none
   */
  Optional<EndpointId> leastFilled(QueuedCall call, Set<EndpointId> avoided);
}
