package org.knapweedcleat.core.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;

/**
 * Tracks one endpoint's load by combining its delayed reports with this scheduler's placements.
 *
 * <p>This scheduler's placements are counted exactly. Any other reported load is foreign: work of
 * an earlier scheduler, of instances that place without one, or memory not yet released.
 */
final class EndpointTracker {

  private static final long RELEASE_RETENTION_MILLIS = 30_000;
  private static final double REPORT_LAG_FACTOR = 1.5;

  private final SchedulePolicy policy;
  private final MovingAverage reportLag;
  private final ThroughputEstimator prefillThroughput;
  private final Map<RequestId, Integer> placedPieces = new HashMap<>();
  private final Map<RequestId, ReleasedMemory> released = new HashMap<>();
  private final Deque<CompletedPrefill> completedPrefills = new ArrayDeque<>();
  private final Map<RequestId, Integer> prefillTokens = new LinkedHashMap<>();
  private EndpointSpec spec;
  private int totalPieces;
  private int reservedPieces;
  private int foreignPieces;
  private int foreignRequests;
  private int queuedTokens;
  private int foreignQueuedTokens;
  private int batchSize;
  private double batchMillis;
  private long batchSinceMillis;
  private long lastReportMillis = Long.MIN_VALUE / 2;
  private long blockedUntilMillis = Long.MIN_VALUE / 2;
  private int failures;

  private EndpointTracker(EndpointSpec spec, SchedulePolicy policy, MovingAverage reportLag) {
    this.policy = policy;
    this.reportLag = reportLag;
    this.prefillThroughput =
        ThroughputEstimator.of(policy.prefillTokensPerSecond(), policy.learningWeight());
    updateSpec(spec);
  }

  /** Returns a tracker; all trackers of a table share one estimate of the report lag. */
  static EndpointTracker of(EndpointSpec spec, SchedulePolicy policy, MovingAverage reportLag) {
    return new EndpointTracker(spec, policy, reportLag);
  }

  void updateSpec(EndpointSpec newSpec) {
    spec = newSpec;
    totalPieces = newSpec.memoryPieces();
  }

  EndpointId id() {
    return spec.id();
  }

  EndpointSpec spec() {
    return spec;
  }

  ThroughputEstimator prefillThroughput() {
    return prefillThroughput;
  }

  int totalPieces() {
    return totalPieces;
  }

  int freePieces() {
    return totalPieces - reservedPieces - foreignPieces;
  }

  /** Returns the number of requests that hold memory or run at this endpoint. */
  int requests() {
    return placedPieces.size() + foreignRequests;
  }

  boolean isReported() {
    return lastReportMillis != Long.MIN_VALUE / 2;
  }

  boolean takesNewWork(long now) {
    return spec.state().acceptsNewWork() && now >= blockedUntilMillis;
  }

  long blockedUntilMillis() {
    return blockedUntilMillis;
  }

  void applyReport(long now, EndpointLoad load) {
    lastReportMillis = now;
    if (load.totalPieces() > 0) {
      totalPieces = load.totalPieces();
    }
    confirmReleases(now, new HashSet<>(load.held()));
    countForeign(load.usedPieces(), load.held());
    int knownTokens = queuedTokens + recentlyPrefilledTokens(now);
    foreignQueuedTokens = Math.max(0, load.queuedPrefillTokens() - knownTokens);
  }

  void place(RequestId request, int pieces) {
    placedPieces.put(request, pieces);
    reservedPieces += pieces;
  }

  void release(long now, RequestId request) {
    Integer pieces = placedPieces.remove(request);
    if (pieces != null) {
      reservedPieces -= pieces;
      released.put(request, new ReleasedMemory(now, pieces, false));
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
      completedPrefills.add(new CompletedPrefill(now, tokens));
    }
  }

  /** Estimates the prompt tokens that still await prefill at this endpoint. */
  double backlogTokens(long now) {
    double processedTokens = 0;
    if (!prefillTokens.isEmpty()) {
      processedTokens =
          Math.min(
              prefillThroughput.tokensInProgress(now), prefillTokens.values().iterator().next());
    }
    return queuedTokens + foreignQueuedTokens - processedTokens;
  }

  double backlogMillis(long now) {
    return backlogTokens(now) / prefillThroughput.tokensPerMilli();
  }

  void changeBatchSize(long now, int change) {
    batchMillis = batchMillis(now);
    batchSinceMillis = now;
    batchSize = Math.max(0, batchSize + change);
  }

  /** Returns the integral of the batch size over time. */
  double batchMillis(long now) {
    return batchMillis + (double) (now - batchSinceMillis) * (batchSize + foreignRequests);
  }

  void block(long untilMillis) {
    blockedUntilMillis = Math.max(blockedUntilMillis, untilMillis);
  }

  /** Blocks new work after a failure, with exponential backoff. */
  void recordFailure(long now) {
    long backoffMillis = (long) policy.failureBackoffMillis() << Math.min(failures, 10);
    failures++;
    block(now + Math.min(backoffMillis, policy.maxFailureBackoffMillis()));
  }

  /** Discards unconfirmed releases after a refused reservation showed the memory still in use. */
  void clearReleased() {
    released.clear();
  }

  void recordSuccess() {
    failures = 0;
  }

  boolean hasPlaced(RequestId request) {
    return placedPieces.containsKey(request) || prefillTokens.containsKey(request);
  }

  private void countForeign(int usedPieces, List<RequestId> held) {
    int knownPieces = 0;
    foreignRequests = 0;
    for (RequestId request : held) {
      ReleasedMemory previous = released.get(request);
      if (placedPieces.containsKey(request)) {
        knownPieces += placedPieces.get(request);
      } else if (previous != null) {
        knownPieces += previous.pieces();
      } else {
        foreignRequests++;
      }
    }
    foreignPieces = Math.max(0, usedPieces - knownPieces);
  }

  private int recentlyPrefilledTokens(long now) {
    double sinceMillis = now - REPORT_LAG_FACTOR * reportLag.value();
    while (!completedPrefills.isEmpty() && completedPrefills.peek().atMillis() < sinceMillis) {
      completedPrefills.poll();
    }
    return completedPrefills.stream().mapToInt(CompletedPrefill::tokens).sum();
  }

  /** Removes releases that a report confirms, and measures the report lag from them. */
  private void confirmReleases(long now, Set<RequestId> held) {
    released.replaceAll((request, old) -> held.contains(request) ? old.seen() : old);
    Iterator<Map.Entry<RequestId, ReleasedMemory>> entries = released.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<RequestId, ReleasedMemory> entry = entries.next();
      long ageMillis = now - entry.getValue().atMillis();
      boolean confirmed = entry.getValue().wasSeen() && !held.contains(entry.getKey());
      if (confirmed) {
        reportLag.observe(ageMillis);
      }
      if (confirmed || ageMillis > RELEASE_RETENTION_MILLIS) {
        entries.remove();
      }
    }
  }

  /** Released memory that delayed reports may still show as in use. */
  private record ReleasedMemory(long atMillis, int pieces, boolean wasSeen) {

    ReleasedMemory seen() {
      return new ReleasedMemory(atMillis, pieces, true);
    }
  }

  private record CompletedPrefill(long atMillis, int tokens) {}
}
