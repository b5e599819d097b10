package org.knapweedcleat.core.schedule;

import java.util.EnumSet;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/** An active placement and its progress. */
final class Placement {

  private final QueuedRequest queued;
  private final EndpointId prefill;
  private final EndpointId runner;
  private final int cachedBlocks;
  private final int expectedPrefillTokens;
  private final double chargedTokens;
  private final long decidedMillis;
  private final Set<PlacementStage> reached = EnumSet.noneOf(PlacementStage.class);
  private long progressMillis;
  private long firstTokenMillis;
  private double batchMillisAtFirstToken;
  private int computedPrefillTokens;

  private Placement(QueuedRequest queued, PlacementPlan plan, double chargedTokens, long now) {
    this.queued = queued;
    this.prefill = plan.prefill();
    this.runner = plan.runner();
    this.cachedBlocks = plan.cachedBlocks();
    this.expectedPrefillTokens = plan.prefillTokens();
    this.chargedTokens = chargedTokens;
    this.decidedMillis = now;
    this.progressMillis = now;
  }

  static Placement of(QueuedRequest queued, PlacementPlan plan, double chargedTokens, long now) {
    return new Placement(queued, plan, chargedTokens, now);
  }

  QueuedRequest queued() {
    return queued;
  }

  RequestId request() {
    return queued.request().request();
  }

  /** Returns the prefill endpoint, or null for plain calls. */
  EndpointId prefill() {
    return prefill;
  }

  /** Returns the decode endpoint, or the endpoint of a plain call. */
  EndpointId runner() {
    return runner;
  }

  int cachedBlocks() {
    return cachedBlocks;
  }

  int expectedPrefillTokens() {
    return expectedPrefillTokens;
  }

  double chargedTokens() {
    return chargedTokens;
  }

  long decidedMillis() {
    return decidedMillis;
  }

  boolean hasReached(PlacementStage stage) {
    return reached.contains(stage);
  }

  long progressMillis() {
    return progressMillis;
  }

  long firstTokenMillis() {
    return firstTokenMillis;
  }

  double batchMillisAtFirstToken() {
    return batchMillisAtFirstToken;
  }

  /** Records a stage; returns false if it had already been reached. */
  boolean markReached(long now, PlacementStage stage) {
    progressMillis = now;
    return reached.add(stage);
  }

  void recordFirstToken(long now, double batchMillis) {
    firstTokenMillis = now;
    batchMillisAtFirstToken = batchMillis;
  }

  int computedPrefillTokens() {
    return computedPrefillTokens;
  }

  void recordPrefilled(int computedTokens) {
    computedPrefillTokens = computedTokens;
  }

  boolean uses(EndpointId endpoint) {
    return endpoint.equals(prefill) || endpoint.equals(runner);
  }
}
