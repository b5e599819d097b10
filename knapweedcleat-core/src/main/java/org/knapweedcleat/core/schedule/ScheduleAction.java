package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;

/** What a scheduler wants done. */
public sealed interface ScheduleAction {

  /**
   * Sends a decision to the incarnation that asked.
   *
   * @param owner the incarnation
   * @param decision the decision
   */
  record SendDecision(IncarnationId owner, PlacementDecision decision) implements ScheduleAction {}

  /**
   * Cancels a request that no living incarnation claims.
   *
   * @param endpoint the endpoint that holds memory for it
   * @param request the request
   */
  record CancelOrphan(EndpointId endpoint, RequestId request) implements ScheduleAction {}
}
