package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** An action that a {@link SplitRequestCoordinator} requests from its driver. */
public sealed interface SplitRequestAction {

  /**
   * Requests a placement from the scheduler.
   *
   * @param request the placement request
   */
  record Place(PlacementRequest request) implements SplitRequestAction {}

  /**
   * Reports the progress of a placement to the scheduler.
   *
   * @param progress the stage reached
   */
  record Report(PlacementProgress progress) implements SplitRequestAction {}

  /**
   * Reserves memory at a decode endpoint.
   *
   * @param attempt the placement attempt
   * @param decode the endpoint
   * @param pieces the number of memory pieces
   * @param holdMillis how long the endpoint holds the reservation for the import
   */
  record Reserve(int attempt, EndpointId decode, int pieces, long holdMillis)
      implements SplitRequestAction {}

  /**
   * Starts a timer.
   *
   * @param attempt the placement attempt
   * @param delayMillis the time until it fires
   */
  record StartTimer(int attempt, long delayMillis) implements SplitRequestAction {}

  /**
   * Starts prefill of the prompt at an endpoint.
   *
   * @param attempt the placement attempt
   * @param prefill the endpoint
   */
  record Prefill(int attempt, EndpointId prefill) implements SplitRequestAction {}

  /**
   * Makes the decode endpoint fetch the KV cache.
   *
   * @param attempt the placement attempt
   * @param decode the endpoint that fetches
   * @param prefill the endpoint that holds the KV cache
   * @param handle the prefill endpoint's handle for the KV cache
   */
  record Import(int attempt, EndpointId decode, EndpointId prefill, String handle)
      implements SplitRequestAction {}

  /**
   * Opens a decode stream.
   *
   * @param attempt the placement attempt
   * @param stream the number of the decode stream within the request, from 1
   * @param decode the endpoint
   * @param fromPosition the first position to send
   * @param maxTokens the token limit of the whole answer
   */
  record Decode(int attempt, int stream, EndpointId decode, int fromPosition, int maxTokens)
      implements SplitRequestAction {}

  /**
   * Cancels what an endpoint may hold for the request; repeated until the endpoint confirms it.
   *
   * @param attempt the placement attempt
   * @param endpoint the endpoint
   */
  record Cancel(int attempt, EndpointId endpoint) implements SplitRequestAction {}

  /**
   * Starts the answer to the caller.
   *
   * @param prefill the endpoint that ran prefill
   * @param decode the endpoint that generates the tokens
   */
  record SendHead(EndpointId prefill, EndpointId decode) implements SplitRequestAction {}

  /**
   * Sends the next token to the caller.
   *
   * @param token the token
   */
  record SendToken(AnswerToken token) implements SplitRequestAction {}

  /**
   * Completes the answer.
   *
   * @param tokens the number of tokens in the whole answer
   */
  record SendEnd(int tokens) implements SplitRequestAction {}

  /**
   * Ends the answer with an error.
   *
   * @param error the error response
   */
  record SendError(ErrorResponse error) implements SplitRequestAction {}
}
