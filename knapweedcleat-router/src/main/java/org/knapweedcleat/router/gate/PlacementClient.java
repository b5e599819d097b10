package org.knapweedcleat.router.gate;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** Asks the scheduler of a pool, wherever it runs. */
public interface PlacementClient {

  /**
   * Asks where a request shall run.
   *
   * @param request the question
   * @return the decision; never fails
   */
  Uni<PlacementDecision> place(PlacementRequest request);

  /**
   * Reports how far a placement has come; safe to call for one that the scheduler has forgotten.
   *
   * @param progress the stage reached
   */
  void report(PlacementProgress progress);
}
