package org.knapweedcleat.core.schedule;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/**
 * What the scheduler knows of one endpoint: its late reports, and what was placed there since.
 *
 * <p>Own placements are counted exactly. What a report shows beyond them is foreign: work of an
 * earlier scheduler, of instances that place alone, or memory not yet released.
 */
final class EndpointTrack {

  private final SchedulePolicy policy;
  private final ThroughputMeter prefillMeter;
  private final Map<RequestId, Integer> placedPieces = new HashMap<>();
  private final Map<RequestId, Released> released = new LinkedHashMap<>();
  private final Map<RequestId, Integer> prefillTokens = new LinkedHashMap<>();
  private EndpointSpec spec;
  private int totalPieces;
  private int reservedPieces;
  private int foreignPieces;
  private int foreignRequests;
  private int queuedTokens;
  private int foreignQueuedTokens;
  private int running;
  private double batchMillis;
  private long batchSinceMillis;
  private long lastReportMillis = Long.MIN_VALUE / 2;
  private long blockedUntilMillis = Long.MIN_VALUE / 2;
  private int failures;

  private EndpointTrack(EndpointSpec spec, SchedulePolicy policy) {
    this.policy = policy;
    this.prefillMeter =
        ThroughputMeter.of(policy.prefillTokensPerSecond(), policy.learningWeight());
    respecify(spec);
  }

  static EndpointTrack of(EndpointSpec spec, SchedulePolicy policy) {
    return new EndpointTrack(spec, policy);
  }

  void respecify(EndpointSpec newSpec) {
    spec = newSpec;
    totalPieces = newSpec.memoryPieces();
  }

  EndpointId id() {
    return spec.id();
  }

  EndpointSpec spec() {
    return spec;
  }

  ThroughputMeter prefillMeter() {
    return prefillMeter;
  }

  int totalPieces() {
    return totalPieces;
  }

  int freePieces() {
    return totalPieces - reservedPieces - foreignPieces;
  }

  /** Counts the requests that have memory or calls here. */
  int requests() {
    return placedPieces.size() + foreignRequests;
  }

  boolean isReported() {
    return lastReportMillis != Long.MIN_VALUE / 2;
  }

  boolean takesNewWork(long now) {
    return spec.state().takesNewWork() && now >= blockedUntilMillis;
  }

  long blockedUntilMillis() {
    return blockedUntilMillis;
  }

  void report(long now, EndpointLoad load) {
    lastReportMillis = now;
    if (load.totalPieces() > 0) {
      totalPieces = load.totalPieces();
    }
    forgetReleased(now);
    countForeign(load.usedPieces(), load.held());
    int known = queuedTokens + recentlyReadTokens();
    foreignQueuedTokens = Math.max(0, load.queuedPrefillTokens() - known);
  }

  void place(RequestId request, int pieces) {
    placedPieces.put(request, pieces);
    reservedPieces += pieces;
  }

  void release(long now, RequestId request) {
    Integer pieces = placedPieces.remove(request);
    if (pieces != null) {
      reservedPieces -= pieces;
      released.put(request, new Released(now, pieces, 0));
    }
  }

  void queuePrefill(RequestId request, int tokens) {
    prefillTokens.put(request, tokens);
    queuedTokens += tokens;
  }

  void endPrefill(long now, RequestId request) {
    Integer tokens = prefillTokens.remove(request);
    if (tokens != null) {
      queuedTokens -= tokens;
      released.put(request, new Released(now, 0, tokens));
    }
  }

  /** Estimates the prompt tokens that are still to be read here. */
  double backlogTokens(long now) {
    double inHand = 0;
    if (!prefillTokens.isEmpty()) {
      inHand = Math.min(prefillMeter.tokensInHand(now), prefillTokens.values().iterator().next());
    }
    return queuedTokens + foreignQueuedTokens - inHand;
  }

  double backlogMillis(long now) {
    return backlogTokens(now) / prefillMeter.tokensPerMilli();
  }

  void running(long now, int change) {
    batchMillis = batchMillis(now);
    batchSinceMillis = now;
    running = Math.max(0, running + change);
  }

  /** Returns the integral of the batch size over time. */
  double batchMillis(long now) {
    return batchMillis + (double) (now - batchSinceMillis) * (running + foreignRequests);
  }

  void block(long untilMillis) {
    blockedUntilMillis = Math.max(blockedUntilMillis, untilMillis);
  }

  /** Keeps work away after a failure, each time for longer. */
  void failed(long now) {
    long backoff = (long) policy.failureBackoffMillis() << Math.min(failures, 10);
    failures++;
    block(now + Math.min(backoff, policy.maxFailureBackoffMillis()));
  }

  void succeeded() {
    failures = 0;
  }

  boolean hasPlaced(RequestId request) {
    return placedPieces.containsKey(request) || prefillTokens.containsKey(request);
  }

  private void countForeign(int usedPieces, List<RequestId> held) {
    int known = 0;
    foreignRequests = 0;
    for (RequestId request : held) {
      Released old = released.get(request);
      if (placedPieces.containsKey(request)) {
        known += placedPieces.get(request);
      } else if (old != null) {
        known += old.pieces();
      } else {
        foreignRequests++;
      }
    }
    foreignPieces = Math.max(0, usedPieces - known);
  }

  private int recentlyReadTokens() {
    return released.values().stream().mapToInt(Released::prefillTokens).sum();
  }

  private void forgetReleased(long now) {
    released.values().removeIf(old -> now - old.atMillis() > policy.reportLagMillis());
  }

  private record Released(long atMillis, int pieces, int prefillTokens) {}
}
