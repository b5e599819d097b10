package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** What a plain call wants done. */
public sealed interface PlainCallAction {

  /**
   * Asks the scheduler.
   *
   * @param request the question
   */
  record Place(PlacementRequest request) implements PlainCallAction {}

  /**
   * Tells the scheduler how far a placement has come.
   *
   * @param progress the stage
   */
  record Report(PlacementProgress progress) implements PlainCallAction {}

  /**
   * Sends the call.
   *
   * @param attempt the placement
   * @param endpoint the endpoint
   */
  record Call(int attempt, EndpointId endpoint) implements PlainCallAction {}

  /**
   * Tells the caller that its request was given up, while the call may go on.
   *
   * @param error the error
   */
  record NotifyCaller(ErrorResponse error) implements PlainCallAction {}

  /** The endpoint's answer is the outcome. */
  record Complete() implements PlainCallAction {}

  /**
   * The outcome is an error.
   *
   * @param error the error
   */
  record Fail(ErrorResponse error) implements PlainCallAction {}
}
