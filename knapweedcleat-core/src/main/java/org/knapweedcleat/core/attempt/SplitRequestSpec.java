package org.knapweedcleat.core.attempt;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.transfer.ReservationSize;

/**
 * What a split request asks for.
 *
 * @param request the request
 * @param owner the incarnation that serves the caller
 * @param service the service asked for
 * @param account the client account that pays
 * @param promptTokens the estimated length of the prompt
 * @param maxTokens the length limit of the whole answer, counted from position 0
 * @param firstPosition the first position that the caller still needs
 * @param prefixHashes chained hashes of the prompt's leading blocks
 * @param deadlineMillis how long the first token may take from the start
 */
public record SplitRequestSpec(
    RequestId request,
    IncarnationId owner,
    ServiceId service,
    AccountId account,
    int promptTokens,
    int maxTokens,
    int firstPosition,
    List<Long> prefixHashes,
    long deadlineMillis) {

  private static final long MAX_HOLD_MILLIS = 10_000;

  /** Checks the ranges and copies the hashes. */
  public SplitRequestSpec {
    prefixHashes = List.copyOf(prefixHashes);
    if (maxTokens < 1 || firstPosition < 0 || firstPosition >= maxTokens) {
      throw new IllegalArgumentException("position " + firstPosition + " of " + maxTokens);
    }
  }

  /**
   * Returns the question for the scheduler.
   *
   * @param attempt counts the placements, from 1
   * @param nextPosition the first position that is still missing
   * @param remainingMillis the time left
   * @return the question
   */
  PlacementRequest placementRequest(int attempt, int nextPosition, long remainingMillis) {
    return new PlacementRequest(
        request,
        attempt,
        owner,
        service,
        account,
        true,
        promptTokens,
        maxTokens - nextPosition,
        prefixHashes,
        remainingMillis);
  }

  /**
   * Returns the reservation of decode memory for a placement.
   *
   * @param attempt counts the placements, from 1
   * @param placement where the request was placed
   * @return the action
   */
  SplitRequestAction.Reserve reserveAction(int attempt, PlacementDecision.Split placement) {
    int pieces = ReservationSize.requiredPieces(promptTokens, maxTokens);
    long holdMillis = placement.prefillDelayMillis() + Math.min(deadlineMillis, MAX_HOLD_MILLIS);
    return new SplitRequestAction.Reserve(attempt, placement.decode(), pieces, holdMillis);
  }
}
