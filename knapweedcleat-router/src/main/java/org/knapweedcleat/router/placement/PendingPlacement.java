package org.knapweedcleat.router.placement;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.RefusalReason;

/** A placement request that awaits a decision; its candidate schedulers are asked in turn. */
final class PendingPlacement {

  /** The maximum number of schedulers that are asked for one request. */
  static final int MAX_CANDIDATES = 64;

  private static final long NO_ENDPOINT_RETRY_MILLIS = 1000;

  private final PlacementRequest request;
  private final long deadlineMillis;
  private final List<PlacementCandidate> candidates;
  private final UniEmitter<? super PlacementDecision> emitter;
  private int candidateIndex;
  private IncarnationId scheduler;
  private PlacementDecision.Refused refusal;

  private PendingPlacement(
      PlacementRequest request,
      long deadlineMillis,
      List<PlacementCandidate> candidates,
      UniEmitter<? super PlacementDecision> emitter) {
    this.request = request;
    this.deadlineMillis = deadlineMillis;
    this.candidates = candidates;
    this.emitter = emitter;
    this.refusal = refusalOf(request, RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS);
  }

  static PendingPlacement create(
      PlacementRequest request,
      long nowMillis,
      List<PlacementCandidate> candidates,
      UniEmitter<? super PlacementDecision> emitter) {
    List<PlacementCandidate> limitedCandidates =
        candidates.subList(0, Math.min(candidates.size(), MAX_CANDIDATES));
    long deadlineMillis = nowMillis + request.remainingMillis();
    return new PendingPlacement(request, deadlineMillis, limitedCandidates, emitter);
  }

  PlacementRequest request() {
    return request;
  }

  AttemptId id() {
    return AttemptId.of(request);
  }

  /** Returns the attempt ID that is used with the current scheduler. */
  AttemptId schedulerAttemptId() {
    return new AttemptId(request.request(), request.attempt() * MAX_CANDIDATES + candidateIndex);
  }

  boolean hasCandidate() {
    return candidateIndex < candidates.size();
  }

  FailureDomainId domain() {
    return candidates.get(candidateIndex).domain();
  }

  Optional<IncarnationId> scheduler() {
    return Optional.ofNullable(scheduler);
  }

  boolean isOverdue(long nowMillis) {
    return nowMillis >= deadlineMillis;
  }

  /** Records the scheduler of the current candidate and returns the request to send to it. */
  PlacementRequest requestFor(IncarnationId newScheduler, long nowMillis) {
    scheduler = newScheduler;
    long remainingMillis = Math.max(1, deadlineMillis - nowMillis);
    long allowedMillis = Math.min(remainingMillis, candidates.get(candidateIndex).allowedMillis());
    return request.withAttempt(schedulerAttemptId().attempt(), allowedMillis);
  }

  /** Moves to the next candidate and keeps the refusal with the shortest retry delay. */
  void advance(Optional<PlacementDecision.Refused> newRefusal) {
    boolean isFirst = candidateIndex == 0;
    newRefusal
        .filter(candidate -> isFirst || candidate.retryAfterMillis() < refusal.retryAfterMillis())
        .ifPresent(
            candidate ->
                refusal = refusalOf(request, candidate.reason(), candidate.retryAfterMillis()));
    candidateIndex++;
    scheduler = null;
  }

  /** Completes with the refusal that has the shortest retry delay. */
  void refuse() {
    emitter.complete(refusal);
  }

  void complete(PlacementDecision decision) {
    emitter.complete(decision);
  }

  private static PlacementDecision.Refused refusalOf(
      PlacementRequest request, RefusalReason reason, long retryAfterMillis) {
    return new PlacementDecision.Refused(
        request.request(), request.attempt(), reason, retryAfterMillis);
  }
}
