package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** What a plain call wants done. */
public sealed interface PlainAction {

  /**
   * Asks the scheduler.
   *
   * @param request the question
   */
  record Place(PlacementRequest request) implements PlainAction {}

  /**
   * Tells the scheduler how far a placement has come.
   *
   * @param progress the stage
   */
  record Report(PlacementProgress progress) implements PlainAction {}

  /**
   * Sends the call.
   *
   * @param attempt the placement
   * @param endpoint the endpoint
   */
  record Call(int attempt, EndpointId endpoint) implements PlainAction {}

  /**
   * Tells the caller that its request was given up, while the call may go on.
   *
   * @param failure the error
   */
  record TellCaller(CallerFailure failure) implements PlainAction {}

  /** The endpoint's answer is the outcome. */
  record Answer() implements PlainAction {}

  /**
   * The outcome is an error.
   *
   * @param failure the error
   */
  record Fail(CallerFailure failure) implements PlainAction {}
}
