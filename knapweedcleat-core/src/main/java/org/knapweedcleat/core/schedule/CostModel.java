package org.knapweedcleat.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.ServiceId;

/** Estimates processing times from observations, starting from the policy's assumptions. */
final class CostModel {

  private static final int PRIOR_BATCH_SIZE = 20;
  private static final double PRIOR_PLAIN_MILLIS = 50;
  private static final double PRIOR_RESERVE_MILLIS = 5;

  private final SchedulePolicy policy;
  private final LinearFit tokenGap;
  private final ThroughputEstimator transferThroughput;
  private final MovingAverage reserveMillis;
  private final MovingAverage plainMillis;
  private final MovingAverage blockTokens;
  private final Map<ServiceId, MovingAverage> holdMillis = new HashMap<>();
  private double pendingTransferTokens;
  private final Map<ServiceId, ErrorMargin> margins = new HashMap<>();

  private CostModel(SchedulePolicy policy) {
    this.policy = policy;
    double learningWeight = policy.learningWeight();
    this.tokenGap =
        LinearFit.through(
            policy.decodeGapBaseMillis(),
            policy.decodeGapPerRequestMillis(),
            1,
            PRIOR_BATCH_SIZE,
            learningWeight);
    this.transferThroughput =
        ThroughputEstimator.of(policy.transferTokensPerSecond(), learningWeight);
    this.reserveMillis = MovingAverage.of(PRIOR_RESERVE_MILLIS, learningWeight);
    this.plainMillis = MovingAverage.of(PRIOR_PLAIN_MILLIS, learningWeight);
    this.blockTokens = MovingAverage.of(policy.prefixBlockTokens(), learningWeight);
  }

  static CostModel of(SchedulePolicy policy) {
    return new CostModel(policy);
  }

  LinearFit tokenGap() {
    return tokenGap;
  }

  ThroughputEstimator transferThroughput() {
    return transferThroughput;
  }

  MovingAverage reserveMillis() {
    return reserveMillis;
  }

  MovingAverage plainMillis() {
    return plainMillis;
  }

  MovingAverage blockTokens() {
    return blockTokens;
  }

  ErrorMargin margin(ServiceId service) {
    return margins.computeIfAbsent(service, id -> ErrorMargin.of(policy.firstTokenQuantile()));
  }

  /** Estimates how long a request occupies decode memory. */
  double holdMillis(PlacementRequest request) {
    MovingAverage observed = holdMillis.get(request.service());
    return observed == null
        ? request.maxOutputTokens() * tokenGap.predict(PRIOR_BATCH_SIZE)
        : observed.value();
  }

  void observeHoldMillis(ServiceId service, double millis) {
    holdMillis
        .computeIfAbsent(service, id -> MovingAverage.of(millis, policy.learningWeight()))
        .observe(millis);
  }

  double transferMillis(int promptTokens) {
    return promptTokens / transferThroughput.tokensPerMilli();
  }

  /** Adds a KV cache transfer that has been planned but not completed. */
  void addPendingTransfer(int promptTokens) {
    pendingTransferTokens += promptTokens;
  }

  /** Removes a KV cache transfer that has completed or is no longer needed. */
  void removePendingTransfer(int promptTokens) {
    pendingTransferTokens = Math.max(0, pendingTransferTokens - promptTokens);
  }

  /** Estimates how long the pending KV cache transfers take. */
  double transferBacklogMillis(long now) {
    double transferredTokens = transferThroughput.tokensInProgress(now);
    return Math.max(0, pendingTransferTokens - transferredTokens)
        / transferThroughput.tokensPerMilli();
  }

  /** Converts prefill and output work to an equivalent number of prompt tokens. */
  double price(int prefillTokens, int outputTokens) {
    return prefillTokens + policy.outputTokenPrice() * outputTokens;
  }

  int uncachedTokens(PlacementRequest request, int cachedBlocks) {
    double cachedTokens = cachedBlocks * blockTokens.value();
    return (int) Math.max(1, Math.round(request.promptTokens() - cachedTokens));
  }
}
