package org.knapweedcleat.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.ServiceId;

/** What the scheduler has learnt of the time that work takes; starts from the policy's priors. */
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
    this.transferThroughput = ThroughputEstimator.of(policy.transferTokensPerSecond(), learningWeight);
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

  /** Estimates how long a request holds its decode memory. */
  double holdMillis(PlacementRequest request) {
    MovingAverage observed = holdMillis.get(request.service());
    return observed == null ? request.maxOutputTokens() * tokenGap.predict(PRIOR_BATCH_SIZE) : observed.value();
  }

  void observeHoldMillis(ServiceId service, double millis) {
    holdMillis
        .computeIfAbsent(service, id -> MovingAverage.of(millis, policy.learningWeight()))
        .observe(millis);
  }

  double transferMillis(int promptTokens) {
    return promptTokens / transferThroughput.tokensPerMilli();
  }

  /** Counts KV cache that will want the link. */
  void addPendingTransfer(int promptTokens) {
    pendingTransferTokens += promptTokens;
  }

  /** Counts KV cache that no longer wants the link. */
  void removePendingTransfer(int promptTokens) {
    pendingTransferTokens = Math.max(0, pendingTransferTokens - promptTokens);
  }

  /** Estimates how long the link takes for the transfers that were placed. */
  double transferBacklogMillis(long now) {
    double transferredTokens = transferThroughput.tokensInProgress(now);
    return Math.max(0, pendingTransferTokens - transferredTokens) / transferThroughput.tokensPerMilli();
  }

  /** Prices work in prompt tokens. */
  double price(int prefillTokens, int outputTokens) {
    return prefillTokens + policy.outputTokenPrice() * outputTokens;
  }

  int uncachedTokens(PlacementRequest request, int cachedBlocks) {
    double cachedTokens = cachedBlocks * blockTokens.value();
    return (int) Math.max(1, Math.round(request.promptTokens() - cachedTokens));
  }
}
