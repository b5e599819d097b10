package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** An action that a {@link PlainCallCoordinator} requests from its driver. */
public sealed interface PlainCallAction {

  /**
   * Requests a placement from the scheduler.
   *
   * @param request the placement request
   */
  record Place(PlacementRequest request) implements PlainCallAction {}

  /**
   * Reports the progress of a placement to the scheduler.
   *
   * @param progress the stage reached
   */
  record Report(PlacementProgress progress) implements PlainCallAction {}

  /**
   * Sends the call to an endpoint.
   *
   * @param attempt the placement attempt
   * @param endpoint the endpoint
   */
  record Call(int attempt, EndpointId endpoint) implements PlainCallAction {}

  /**
   * Sends an error to the caller of an aborted request while the call may continue.
   *
   * @param error the error response
   */
  record NotifyCaller(ErrorResponse error) implements PlainCallAction {}

  /** Completes the call with the endpoint's answer. */
  record Complete() implements PlainCallAction {}

  /**
   * Completes the call with an error.
   *
   * @param error the error response
   */
  record Fail(ErrorResponse error) implements PlainCallAction {}
}
