package org.knapweedcleat.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.ServiceId;

/** What the scheduler has learnt of the time that work takes; starts from the policy's priors. */
final class CostModel {

  private static final int PRIOR_BATCH = 20;
  private static final double PRIOR_PLAIN_MILLIS = 50;
  private static final double PRIOR_RESERVE_MILLIS = 5;

  private final SchedulePolicy policy;
  private final LinearFit gap;
  private final ThroughputMeter link;
  private final MovingAverage reserveMillis;
  private final MovingAverage plainMillis;
  private final MovingAverage blockTokens;
  private final Map<ServiceId, MovingAverage> holdMillis = new HashMap<>();
  private double linkQueuedTokens;
  private final Map<ServiceId, ErrorMargin> margins = new HashMap<>();

  private CostModel(SchedulePolicy policy) {
    this.policy = policy;
    double learning = policy.learningWeight();
    this.gap =
        LinearFit.through(
            policy.decodeGapBaseMillis(),
            policy.decodeGapPerRequestMillis(),
            1,
            PRIOR_BATCH,
            learning);
    this.link = ThroughputMeter.of(policy.transferTokensPerSecond(), learning);
    this.reserveMillis = MovingAverage.of(PRIOR_RESERVE_MILLIS, learning);
    this.plainMillis = MovingAverage.of(PRIOR_PLAIN_MILLIS, learning);
    this.blockTokens = MovingAverage.of(policy.prefixBlockTokens(), learning);
  }

  static CostModel of(SchedulePolicy policy) {
    return new CostModel(policy);
  }

  LinearFit gap() {
    return gap;
  }

  ThroughputMeter link() {
    return link;
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
    return margins.computeIfAbsent(service, id -> ErrorMargin.of(policy.withinTargetQuantile()));
  }

  /** Estimates how long a request holds its decode memory. */
  double holdMillis(PlacementRequest request) {
    MovingAverage learnt = holdMillis.get(request.service());
    return learnt == null ? request.maxOutputTokens() * gap.predict(PRIOR_BATCH) : learnt.value();
  }

  void observeHold(ServiceId service, double millis) {
    holdMillis
        .computeIfAbsent(service, id -> MovingAverage.of(millis, policy.learningWeight()))
        .observe(millis);
  }

  double transferMillis(int promptTokens) {
    return promptTokens / link.tokensPerMilli();
  }

  /** Counts KV cache that will want the link. */
  void expectTransfer(int promptTokens) {
    linkQueuedTokens += promptTokens;
  }

  /** Counts KV cache that no longer wants the link. */
  void endTransfer(int promptTokens) {
    linkQueuedTokens = Math.max(0, linkQueuedTokens - promptTokens);
  }

  /** Estimates how long the link takes for the transfers that were placed. */
  double linkBacklogMillis(long now) {
    double inHand = link.tokensInHand(now);
    return Math.max(0, linkQueuedTokens - inHand) / link.tokensPerMilli();
  }

  /** Prices work in prompt tokens. */
  double price(int prefillTokens, int outputTokens) {
    return prefillTokens + policy.outputTokenPrice() * outputTokens;
  }

  int uncachedTokens(PlacementRequest request, int cachedBlocks) {
    double cached = cachedBlocks * blockTokens.value();
    return (int) Math.max(1, Math.round(request.promptTokens() - cached));
  }
}
