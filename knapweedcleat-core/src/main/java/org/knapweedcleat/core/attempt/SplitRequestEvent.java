package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementDecision;

/** What can happen to a split request; events of earlier placements may still arrive. */
public sealed interface SplitRequestEvent {

  /**
   * The scheduler decided.
   *
   * @param decision the decision
   */
  record PlacementDecided(PlacementDecision decision) implements SplitRequestEvent {}

  /**
   * The decode endpoint granted the memory.
   *
   * @param attempt the placement
   */
  record Reserved(int attempt) implements SplitRequestEvent {}

  /**
   * The decode endpoint did not grant the memory.
   *
   * @param attempt the placement
   * @param failure how the call failed
   */
  record ReserveFailed(int attempt, CallFailure failure) implements SplitRequestEvent {}

  /**
   * A timer that {@link SplitRequestAction.StartTimer} asked for has run out.
   *
   * @param attempt the placement
   */
  record TimerFired(int attempt) implements SplitRequestEvent {}

  /**
   * The KV cache lies ready at the prefill endpoint.
   *
   * @param attempt the placement
   * @param handle the endpoint's name for the KV cache
   * @param computedTokens the prompt tokens that were computed, not cached
   */
  record Prefilled(int attempt, String handle, int computedTokens) implements SplitRequestEvent {}

  /**
   * Prefill failed.
   *
   * @param attempt the placement
   * @param failure how the call failed
   */
  record PrefillFailed(int attempt, CallFailure failure) implements SplitRequestEvent {}

  /**
   * The KV cache is in the decode endpoint.
   *
   * @param attempt the placement
   */
  record Imported(int attempt) implements SplitRequestEvent {}

  /**
   * The transfer failed.
   *
   * @param attempt the placement
   * @param failure how the call failed
   */
  record ImportFailed(int attempt, CallFailure failure) implements SplitRequestEvent {}

  /**
   * A token arrived.
   *
   * @param stream which decode stream of the request it belongs to
   * @param token the token
   */
  record TokenArrived(int stream, AnswerToken token) implements SplitRequestEvent {}

  /**
   * A decode stream ended as the endpoint meant it to.
   *
   * @param stream which decode stream of the request
   * @param tokens the length of the whole answer, counted from position 0
   */
  record StreamEnded(int stream, int tokens) implements SplitRequestEvent {}

  /**
   * A decode stream broke off.
   *
   * @param stream which decode stream of the request
   * @param failure how the call failed
   */
  record StreamBroken(int stream, CallFailure failure) implements SplitRequestEvent {}

  /**
   * An endpoint confirmed that it holds nothing for the request.
   *
   * @param endpoint the endpoint
   */
  record MemoryReleased(EndpointId endpoint) implements SplitRequestEvent {}

  /**
   * The request is given up from outside.
   *
   * @param cause why
   */
  record Aborted(AbortCause cause) implements SplitRequestEvent {}
}
