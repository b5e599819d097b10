package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.schedule.PlacementDecision;

/** An event of a plain call. Events of earlier placement attempts may still arrive. */
public sealed interface PlainCallEvent {

  /**
   * The scheduler returned a decision.
   *
   * @param decision the decision
   */
  record PlacementDecided(PlacementDecision decision) implements PlainCallEvent {}

  /**
   * The endpoint answered the call.
   *
   * @param attempt the placement attempt
   */
  record Answered(int attempt) implements PlainCallEvent {}

  /**
   * The call failed.
   *
   * @param attempt the placement attempt
   * @param failure how the call failed
   */
  record Failed(int attempt, CallFailure failure) implements PlainCallEvent {}

  /**
   * The request is aborted for an external cause.
   *
   * @param cause the cause
   */
  record Aborted(AbortCause cause) implements PlainCallEvent {}
}
