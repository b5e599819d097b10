package org.knapweedcleat.router.placement;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.RefusalReason;

/** A placement that is asked for and not decided; asks one scheduler after the other. */
final class PendingPlacement {

  /** The most schedulers that one question asks. */
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
      List<PlacementCandidate> legs,
      UniEmitter<? super PlacementDecision> emitter) {
    this.request = request;
    this.deadlineMillis = deadlineMillis;
    this.candidates = legs;
    this.emitter = emitter;
    this.refusal = refusalOf(request, RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS);
  }

  static PendingPlacement create(
      PlacementRequest request,
      long nowMillis,
      List<PlacementCandidate> legs,
      UniEmitter<? super PlacementDecision> emitter) {
    List<PlacementCandidate> bounded = legs.subList(0, Math.min(legs.size(), MAX_CANDIDATES));
    long deadlineMillis = nowMillis + request.remainingMillis();
    return new PendingPlacement(request, deadlineMillis, bounded, emitter);
  }

  PlacementRequest request() {
    return request;
  }

  AttemptId id() {
    return AttemptId.of(request);
  }

  /** Returns the name under which the current scheduler knows the question. */
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

  /** Returns the question as the current leg's scheduler gets it. */
  PlacementRequest requestFor(IncarnationId newScheduler, long nowMillis) {
    scheduler = newScheduler;
    long leftMillis = Math.max(1, deadlineMillis - nowMillis);
    long allowedMillis = Math.min(leftMillis, candidates.get(candidateIndex).allowedMillis());
    return request.withAttempt(schedulerAttemptId().attempt(), allowedMillis);
  }

  /** Goes on to the next scheduler, remembering the refusal that is over soonest. */
  void advance(Optional<PlacementDecision.Refused> newRefusal) {
    boolean first = candidateIndex == 0;
    newRefusal
        .filter(found -> first || found.retryAfterMillis() < refusal.retryAfterMillis())
        .ifPresent(found -> refusal = refusalOf(request, found.reason(), found.retryAfterMillis()));
    candidateIndex++;
    scheduler = null;
  }

  /** Answers with the best refusal. */
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
