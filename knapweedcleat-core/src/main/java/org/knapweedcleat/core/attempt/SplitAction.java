package org.knapweedcleat.core.attempt;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** What a split request wants done. */
public sealed interface SplitAction {

  /**
   * Asks the scheduler.
   *
   * @param request the question
   */
  record Place(PlacementRequest request) implements SplitAction {}

  /**
   * Tells the scheduler how far a placement has come.
   *
   * @param progress the stage
   */
  record Report(PlacementProgress progress) implements SplitAction {}

  /**
   * Reserves decode memory.
   *
   * @param attempt the placement
   * @param decode the endpoint
   * @param pieces the pieces of memory
   * @param holdMillis how long the endpoint holds them for the import
   */
  record Reserve(int attempt, EndpointId decode, int pieces, long holdMillis)
      implements SplitAction {}

  /**
   * Starts a timer.
   *
   * @param attempt the placement
   * @param delayMillis its time
   */
  record StartTimer(int attempt, long delayMillis) implements SplitAction {}

  /**
   * Has the prompt read.
   *
   * @param attempt the placement
   * @param prefill the endpoint
   */
  record Prefill(int attempt, EndpointId prefill) implements SplitAction {}

  /**
   * Has the decode endpoint fetch the KV cache.
   *
   * @param attempt the placement
   * @param decode the endpoint that fetches
   * @param prefill the endpoint that has it
   * @param handle its name there
   */
  record Import(int attempt, EndpointId decode, EndpointId prefill, String handle)
      implements SplitAction {}

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
      implements SplitAction {}

  /**
   * Has an endpoint release what it may hold for the request, until it confirms.
   *
   * @param attempt the placement
   * @param endpoint the endpoint
   */
  record Cancel(int attempt, EndpointId endpoint) implements SplitAction {}

  /**
   * Begins the answer.
   *
   * @param prefill where the prompt was read
   * @param decode where the tokens come from
   */
  record SendHead(EndpointId prefill, EndpointId decode) implements SplitAction {}

  /**
   * Sends the next token.
   *
   * @param token the token
   */
  record SendToken(AnswerToken token) implements SplitAction {}

  /**
   * Ends the answer.
   *
   * @param tokens the length of the whole answer
   */
  record SendEnd(int tokens) implements SplitAction {}

  /**
   * Ends the answer with an error.
   *
   * @param failure the error
   */
  record SendFailure(CallerFailure failure) implements SplitAction {}
}
