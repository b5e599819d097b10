package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/**
 * A request that is queued for placement.
 *
 * @param request the request
 * @param service its service
 * @param weight the weight of its client account
 * @param pieces the memory pieces that it needs
 * @param submittedMillis the time of submission
 * @param latestStartMillis the latest placement time at which it can meet its deadline
 * @param estimateMillis the estimated time from submission to its first token
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

  /** Returns whether the deadline is no later than the service's first-token target. */
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
