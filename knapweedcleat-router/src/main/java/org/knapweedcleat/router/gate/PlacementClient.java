package org.knapweedcleat.router.gate;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** Client for the scheduler of a pool, which may run at this or another instance. */
public interface PlacementClient {

  /**
   * Requests a placement.
   *
   * @param request the placement request
   * @return the decision; never fails
   */
  Uni<PlacementDecision> place(PlacementRequest request);

  /**
   * Reports the progress of a placement, which the scheduler may no longer know.
   *
   * @param progress the stage that was reached
   */
  void report(PlacementProgress progress);
}
