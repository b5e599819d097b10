package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementDecision;

/** What can happen to a split request; events of earlier placements may still arrive. */
public sealed interface SplitEvent {

  /**
   * The scheduler decided.
   *
   * @param decision the decision
   */
  record Decided(PlacementDecision decision) implements SplitEvent {}

  /**
   * The decode endpoint granted the memory.
   *
   * @param attempt the placement
   */
  record Reserved(int attempt) implements SplitEvent {}

  /**
   * The decode endpoint did not grant the memory.
   *
   * @param attempt the placement
   * @param failure how the call failed
   */
  record ReserveFailed(int attempt, CallFailure failure) implements SplitEvent {}

  /**
   * A timer that {@link SplitAction.StartTimer} asked for has run out.
   *
   * @param attempt the placement
   */
  record TimerFired(int attempt) implements SplitEvent {}

  /**
   * The KV cache lies ready at the prefill endpoint.
   *
   * @param attempt the placement
   * @param handle the endpoint's name for the KV cache
   * @param computedTokens the prompt tokens that were computed, not cached
   */
  record Prefilled(int attempt, String handle, int computedTokens) implements SplitEvent {}

  /**
   * Prefill failed.
   *
   * @param attempt the placement
   * @param failure how the call failed
   */
  record PrefillFailed(int attempt, CallFailure failure) implements SplitEvent {}

  /**
   * The KV cache is in the decode endpoint.
   *
   * @param attempt the placement
   */
  record Imported(int attempt) implements SplitEvent {}

  /**
   * The transfer failed.
   *
   * @param attempt the placement
   * @param failure how the call failed
   */
  record ImportFailed(int attempt, CallFailure failure) implements SplitEvent {}

  /**
   * A token arrived.
   *
   * @param stream which decode stream of the request it belongs to
   * @param token the token
   */
  record TokenArrived(int stream, AnswerToken token) implements SplitEvent {}

  /**
   * A decode stream ended as the endpoint meant it to.
   *
   * @param stream which decode stream of the request
   * @param tokens the length of the whole answer, counted from position 0
   */
  record StreamEnded(int stream, int tokens) implements SplitEvent {}

  /**
   * A decode stream broke off.
   *
   * @param stream which decode stream of the request
   * @param failure how the call failed
   */
  record StreamBroken(int stream, CallFailure failure) implements SplitEvent {}

  /**
   * An endpoint confirmed that it holds nothing for the request.
   *
   * @param endpoint the endpoint
   */
  record Released(EndpointId endpoint) implements SplitEvent {}

  /**
   * The request is given up from outside.
   *
   * @param cause why
   */
  record GivenUp(GiveUpCause cause) implements SplitEvent {}
}
