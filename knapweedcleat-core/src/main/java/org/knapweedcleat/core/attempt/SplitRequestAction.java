package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** What a split request wants done. */
public sealed interface SplitRequestAction {

  /**
   * Asks the scheduler.
   *
   * @param request the question
   */
  record Place(PlacementRequest request) implements SplitRequestAction {}

  /**
   * Tells the scheduler how far a placement has come.
   *
   * @param progress the stage
   */
  record Report(PlacementProgress progress) implements SplitRequestAction {}

  /**
   * Reserves decode memory.
   *
   * @param attempt the placement
   * @param decode the endpoint
   * @param pieces the pieces of memory
   * @param holdMillis how long the endpoint holds them for the import
   */
  record Reserve(int attempt, EndpointId decode, int pieces, long holdMillis)
      implements SplitRequestAction {}

  /**
   * Starts a timer.
   *
   * @param attempt the placement
   * @param delayMillis its time
   */
  record StartTimer(int attempt, long delayMillis) implements SplitRequestAction {}

  /**
   * Has the prompt read.
   *
   * @param attempt the placement
   * @param prefill the endpoint
   */
  record Prefill(int attempt, EndpointId prefill) implements SplitRequestAction {}

  /**
   * Has the decode endpoint fetch the KV cache.
   *
   * @param attempt the placement
   * @param decode the endpoint that fetches
   * @param prefill the endpoint that has it
   * @param handle its name there
   */
  record Import(int attempt, EndpointId decode, EndpointId prefill, String handle)
      implements SplitRequestAction {}

  /**
   * Opens a decode stream.
   *
   * @param attempt the placement
   * @param stream counts the decode streams of the request, from 1
   * @param decode the endpoint
   * @param fromPosition the first position wanted
   * @param maxTokens the length limit of the whole answer
   */
  record Decode(int attempt, int stream, EndpointId decode, int fromPosition, int maxTokens)
      implements SplitRequestAction {}

  /**
   * Has an endpoint release what it may hold for the request, until it confirms.
   *
   * @param attempt the placement
   * @param endpoint the endpoint
   */
  record Cancel(int attempt, EndpointId endpoint) implements SplitRequestAction {}

  /**
   * Begins the answer.
   *
   * @param prefill where the prompt was read
   * @param decode where the tokens come from
   */
  record SendHead(EndpointId prefill, EndpointId decode) implements SplitRequestAction {}

  /**
   * Sends the next token.
   *
   * @param token the token
   */
  record SendToken(AnswerToken token) implements SplitRequestAction {}

  /**
   * Ends the answer.
   *
   * @param tokens the length of the whole answer
   */
  record SendEnd(int tokens) implements SplitRequestAction {}

  /**
   * Ends the answer with an error.
   *
   * @param error the error
   */
  record SendError(ErrorResponse error) implements SplitRequestAction {}
}
