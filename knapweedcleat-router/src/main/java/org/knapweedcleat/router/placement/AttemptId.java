package org.knapweedcleat.router.placement;

import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/**
 * Identifies one placement attempt of a request.
 *
 * @param request the request
 * @param attempt the number of the attempt, from 1
 */
record AttemptId(RequestId request, int attempt) {

  static AttemptId of(PlacementRequest request) {
    return new AttemptId(request.request(), request.attempt());
  }

  static AttemptId of(PlacementDecision decision) {
    return new AttemptId(decision.request(), decision.attempt());
  }

  static AttemptId of(PlacementProgress progress) {
    return new AttemptId(progress.request(), progress.attempt());
  }
}
