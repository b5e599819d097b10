package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;

/** An action that a scheduler requests from its caller. */
public sealed interface ScheduleAction {

  /**
   * Sends a decision to the incarnation that requested it.
   *
   * @param owner the incarnation
   * @param decision the decision
   */
  record SendDecision(IncarnationId owner, PlacementDecision decision) implements ScheduleAction {}

  /**
   * Cancels a request that no live incarnation claims.
   *
   * @param endpoint the endpoint at which it may hold memory
   * @param request the request
   */
  record CancelOrphan(EndpointId endpoint, RequestId request) implements ScheduleAction {}
}
