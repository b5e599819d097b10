package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/**
 * A request that waits for its placement.
 *
 * @param request the request
 * @param service its service
 * @param weight the weight of its client account
 * @param pieces the engine memory it needs
 * @param submittedMillis when it was submitted
 * @param latestStartMillis when it has to be placed at the latest to meet its deadline
 * @param estimateMillis the time to its first token, as estimated at submission
 */
record QueuedRequest(
    PlacementRequest request,
    ServiceSpec service,
    int weight,
    int pieces,
    long submittedMillis,
    long latestStartMillis,
    double estimateMillis) {

  private static final int TOKENS_PER_PIECE = 1_000;

  static int piecesOf(PlacementRequest request) {
    int tokens = request.promptTokens() + request.maxOutputTokens();
    return (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
  }

  AttemptKey key() {
    return AttemptKey.of(request);
  }

  /** Tells whether the first token has to come inside the service's target. */
  boolean isUrgent() {
    return isUrgent(request, service);
  }

  static boolean isUrgent(PlacementRequest request, ServiceSpec service) {
    return request.remainingMillis() <= service.firstTokenTargetMillis();
  }

  AccountId account() {
    return request.account();
  }

  QueueLane lane() {
    return QueueLane.of(request, service);
  }
}
