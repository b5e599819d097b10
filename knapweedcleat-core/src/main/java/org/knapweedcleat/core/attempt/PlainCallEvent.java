package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.schedule.PlacementDecision;

/** What can happen to a plain call; events of earlier placements may still arrive. */
public sealed interface PlainCallEvent {

  /**
   * The scheduler decided.
   *
   * @param decision the decision
   */
  record PlacementDecided(PlacementDecision decision) implements PlainCallEvent {}

  /**
   * The endpoint answered.
   *
   * @param attempt the placement
   */
  record Answered(int attempt) implements PlainCallEvent {}

  /**
   * The call failed.
   *
   * @param attempt the placement
   * @param failure how
   */
  record Failed(int attempt, CallFailure failure) implements PlainCallEvent {}

  /**
   * The request is given up from outside.
   *
   * @param cause why
   */
  record Aborted(AbortCause cause) implements PlainCallEvent {}
}
