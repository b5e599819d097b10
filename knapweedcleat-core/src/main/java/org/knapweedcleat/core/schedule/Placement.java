package org.knapweedcleat.core.schedule;

import java.util.EnumSet;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/** A placement that was decided and is not over. */
final class Placement {

  private final QueuedRequest waiting;
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

  private Placement(QueuedRequest waiting, PlacementPlan plan, double chargedTokens, long now) {
    this.waiting = waiting;
    this.prefill = plan.prefill();
    this.runner = plan.runner();
    this.cachedBlocks = plan.cachedBlocks();
    this.expectedPrefillTokens = plan.prefillTokens();
    this.chargedTokens = chargedTokens;
    this.decidedMillis = now;
    this.progressMillis = now;
  }

  static Placement of(QueuedRequest waiting, PlacementPlan plan, double chargedTokens, long now) {
    return new Placement(waiting, plan, chargedTokens, now);
  }

  QueuedRequest waiting() {
    return waiting;
  }

  RequestId request() {
    return waiting.request().request();
  }

  /** Returns where the prompt is read; null for plain calls. */
  EndpointId prefill() {
    return prefill;
  }

  /** Returns where tokens are generated or the plain call runs. */
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

  /** Notes that a stage was reached; returns false if that was known. */
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
