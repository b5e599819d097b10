package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.schedule.PlacementDecision;

/** What can happen to a plain call; events of earlier placements may still arrive. */
public sealed interface PlainEvent {

  /**
   * The scheduler decided.
   *
   * @param decision the decision
   */
  record Decided(PlacementDecision decision) implements PlainEvent {}

  /**
   * The endpoint answered.
   *
   * @param attempt the placement
   */
  record Answered(int attempt) implements PlainEvent {}

  /**
   * The call failed.
   *
   * @param attempt the placement
   * @param failure how
   */
  record Failed(int attempt, CallFailure failure) implements PlainEvent {}

  /**
   * The request is given up from outside.
   *
   * @param cause why
   */
  record GivenUp(GiveUpCause cause) implements PlainEvent {}
}
