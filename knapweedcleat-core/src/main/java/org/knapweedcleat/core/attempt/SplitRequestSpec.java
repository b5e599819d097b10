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
 * The parameters of a split request.
 *
 * @param request the request
 * @param owner the incarnation that serves the caller
 * @param service the requested service
 * @param account the client account that is charged
 * @param promptTokens the estimated length of the prompt
 * @param maxTokens the token limit of the whole answer, counted from position 0
 * @param firstPosition the first position that the caller still needs
 * @param prefixHashes the chained hashes of the prompt's leading blocks
 * @param deadlineMillis the time limit for the first token, from the start of the request
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

  /** Validates the positions and copies the hashes. */
  public SplitRequestSpec {
    prefixHashes = List.copyOf(prefixHashes);
    if (maxTokens < 1 || firstPosition < 0 || firstPosition >= maxTokens) {
      throw new IllegalArgumentException(
          "first position " + firstPosition + " is out of range for max tokens " + maxTokens);
    }
  }

  /**
   * Returns the placement request for the scheduler.
   *
   * @param attempt the placement attempt, from 1
   * @param nextPosition the first position that is still missing
   * @param remainingMillis the time left
   * @return the request
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
   * Returns the action that reserves decode memory for a placement.
   *
   * @param attempt the placement attempt, from 1
   * @param placement the endpoints chosen by the scheduler
   * @return the action
   */
  SplitRequestAction.Reserve reserveAction(int attempt, PlacementDecision.Split placement) {
    int pieces = ReservationSize.requiredPieces(promptTokens, maxTokens);
    long holdMillis = placement.prefillDelayMillis() + Math.min(deadlineMillis, MAX_HOLD_MILLIS);
    return new SplitRequestAction.Reserve(attempt, placement.decode(), pieces, holdMillis);
  }
}
