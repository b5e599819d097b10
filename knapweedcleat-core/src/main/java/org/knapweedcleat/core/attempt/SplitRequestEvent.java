package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementDecision;

/** An event of a split request. Events of earlier placement attempts may still arrive. */
public sealed interface SplitRequestEvent {

  /**
   * The scheduler returned a decision.
   *
   * @param decision the decision
   */
  record PlacementDecided(PlacementDecision decision) implements SplitRequestEvent {}

  /**
   * The decode endpoint reserved the memory.
   *
   * @param attempt the placement attempt
   */
  record Reserved(int attempt) implements SplitRequestEvent {}

  /**
   * The decode endpoint did not reserve the memory.
   *
   * @param attempt the placement attempt
   * @param failure how the call failed
   */
  record ReserveFailed(int attempt, CallFailure failure) implements SplitRequestEvent {}

  /**
   * A timer started by {@link SplitRequestAction.StartTimer} fired.
   *
   * @param attempt the placement attempt
   */
  record TimerFired(int attempt) implements SplitRequestEvent {}

  /**
   * Prefill completed, and the KV cache is available at the prefill endpoint.
   *
   * @param attempt the placement attempt
   * @param handle the endpoint's handle for the KV cache
   * @param computedTokens the prompt tokens that were computed rather than served from a cache
   */
  record Prefilled(int attempt, String handle, int computedTokens) implements SplitRequestEvent {}

  /**
   * Prefill failed.
   *
   * @param attempt the placement attempt
   * @param failure how the call failed
   */
  record PrefillFailed(int attempt, CallFailure failure) implements SplitRequestEvent {}

  /**
   * The decode endpoint has imported the KV cache.
   *
   * @param attempt the placement attempt
   */
  record Imported(int attempt) implements SplitRequestEvent {}

  /**
   * The KV cache transfer failed.
   *
   * @param attempt the placement attempt
   * @param failure how the call failed
   */
  record ImportFailed(int attempt, CallFailure failure) implements SplitRequestEvent {}

  /**
   * A decode stream delivered a token.
   *
   * @param stream the number of the decode stream
   * @param token the token
   */
  record TokenArrived(int stream, AnswerToken token) implements SplitRequestEvent {}

  /**
   * The endpoint completed a decode stream.
   *
   * @param stream the number of the decode stream
   * @param tokens the number of tokens in the whole answer, counted from position 0
   */
  record StreamEnded(int stream, int tokens) implements SplitRequestEvent {}

  /**
   * A decode stream was interrupted.
   *
   * @param stream the number of the decode stream
   * @param failure how the call failed
   */
  record StreamBroken(int stream, CallFailure failure) implements SplitRequestEvent {}

  /**
   * An endpoint confirmed that it holds no memory for the request.
   *
   * @param endpoint the endpoint
   */
  record MemoryReleased(EndpointId endpoint) implements SplitRequestEvent {}

  /**
   * The request is aborted for an external cause.
   *
   * @param cause the cause
   */
  record Aborted(AbortCause cause) implements SplitRequestEvent {}
}
