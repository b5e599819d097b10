package org.knapweedcleat.router.forward.call;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.room.AdmissionListener;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.room.StreamAdmissionQuery;
import org.knapweedcleat.router.forward.room.StreamAdmissionReply;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;

/**
 * Asks the regions' coordinators to admit one stream by its rank. The stream is queued in at most
 * one region; the other regions are only asked whether they have capacity now.
 */
final class StreamAdmission implements AdmissionListener {

  private final PlacementExchange placements;
  private final ServiceId service;
  private final String requestId;
  private final Result result;
  private Optional<FleetMember> asked = Optional.empty();
  private Optional<FleetMember> queuedAt = Optional.empty();
  private Optional<FleetMember> placedBy = Optional.empty();
  private OptionalLong shortestRetryMillis = OptionalLong.empty();
  private long round;
  private boolean waiting;

  /**
   * What orders a stream among others.
   *
   * @param started whether work was done for it that is lost if it does not go on soon
   * @param rank its rank; 0 is the most urgent
   * @param account the id of its account; empty if it has none
   * @param targetMillis the time from its arrival until its first event would be late
   * @param maxWaitMillis the longest time that it waits from its arrival
   * @param waitedMillis the time since its arrival
   */
  record Terms(
      boolean started,
      int rank,
      String account,
      long targetMillis,
      long maxWaitMillis,
      long waitedMillis) {}

  /** Receives what was decided. */
  interface Result {

    /** The stream has engines, which are reserved at a coordinator. */
    void onPlaced(FleetMember coordinator, StreamPlacementReply reply);

    /** The stream waits; it is to be asked for again if nothing follows. */
    void onQueued();

    /** No region can serve the stream in time. */
    void onRefused(long retryAfterMillis);

    /** No coordinator can be reached. */
    void onUnreachable();
  }

  StreamAdmission(
      PlacementExchange placements, ServiceId service, String requestId, Result result) {
    this.placements = placements;
    this.service = service;
    this.requestId = requestId;
    this.result = result;
  }

  /** Asks for the stream, or confirms that it still waits. */
  void ask(List<RegionId> regions, StreamPlacementQuery query, Terms terms) {
    placements.addListener(requestId, this);
    waiting = true;
    placedBy = Optional.empty();
    shortestRetryMillis = OptionalLong.empty();
    round++;
    askNext(round, regions, query, terms, false);
  }

  private void askNext(
      long askedRound,
      List<RegionId> regions,
      StreamPlacementQuery query,
      Terms terms,
      boolean queued) {
    if (regions.isEmpty()) {
      finishRound(queued);
      return;
    }
    List<RegionId> rest = regions.subList(1, regions.size());
    Optional<FleetMember> coordinator = placements.coordinator(regions.get(0), service);
    if (coordinator.isEmpty()) {
      askNext(askedRound, rest, query, terms, queued);
      return;
    }
    FleetMember member = coordinator.get();
    asked = coordinator;
    placements
        .ask(member, admissionQuery(query, terms, !queued))
        .subscribe()
        .with(
            reply -> {
              if (isCurrent(askedRound)) {
                onReply(member, reply, () -> askNext(askedRound, rest, query, terms, true))
                    .ifPresent(next -> askNext(askedRound, rest, query, terms, queued));
              } else {
                onVoidReply(member, reply);
              }
            },
            failure -> {
              if (isCurrent(askedRound)) {
                askNext(askedRound, rest, query, terms, queued);
              }
            });
  }

  private boolean isCurrent(long askedRound) {
    return waiting && round == askedRound;
  }

  /** Handles a reply; returns a value if the next region is to be asked as this one was. */
  private Optional<StreamAdmissionReply> onReply(
      FleetMember member, StreamAdmissionReply reply, Runnable onQueued) {
    switch (reply.outcome()) {
      case PLACED -> onPlaced(member, reply.placement());
      case QUEUED -> {
        queuedAt.filter(previous -> !previous.equals(member)).ifPresent(this::withdraw);
        queuedAt = Optional.of(member);
        onQueued.run();
      }
      default -> {
        queuedAt = queuedAt.filter(previous -> !previous.equals(member));
        if (reply.waitMillis() > 0) {
          shortestRetryMillis =
              OptionalLong.of(
                  Math.min(reply.waitMillis(), shortestRetryMillis.orElse(Long.MAX_VALUE)));
        }
        return Optional.of(reply);
      }
    }
    return Optional.empty();
  }

  /** Releases what a reply reserves that has come too late, unless it repeats what is in use. */
  private void onVoidReply(FleetMember member, StreamAdmissionReply reply) {
    boolean isUsed = placedBy.filter(member::equals).isPresent();
    boolean isAwaited = waiting && queuedAt.filter(member::equals).isPresent();
    boolean isRefused = reply.outcome() == StreamAdmissionReply.Outcome.REFUSED;
    if (!isUsed && !isAwaited && !isRefused) {
      withdraw(member);
    }
  }

  private void finishRound(boolean queued) {
    if (queued) {
      result.onQueued();
    } else if (shortestRetryMillis.isPresent()) {
      stopWaiting();
      result.onRefused(shortestRetryMillis.getAsLong());
    } else {
      stopWaiting();
      result.onUnreachable();
    }
  }

  private void onPlaced(FleetMember member, StreamPlacementReply placement) {
    queuedAt.filter(previous -> !previous.equals(member)).ifPresent(this::withdraw);
    queuedAt = Optional.empty();
    placedBy = Optional.of(member);
    waiting = false;
    result.onPlaced(member, placement);
  }

  @Override
  public boolean onNotice(IncarnationId from, StreamAdmissionReply reply) {
    if (placedBy.filter(member -> member.incarnation().equals(from)).isPresent()) {
      return true;
    }
    // The notice may overtake the reply that the stream is queued.
    Optional<FleetMember> sender =
        Stream.concat(queuedAt.stream(), asked.stream())
            .filter(member -> member.incarnation().equals(from))
            .findFirst();
    if (!waiting || sender.isEmpty()) {
      return false;
    }
    if (reply.outcome() == StreamAdmissionReply.Outcome.PLACED) {
      onPlaced(sender.get(), reply.placement());
    } else {
      queuedAt = Optional.empty();
      stopWaiting();
      result.onRefused(reply.waitMillis());
    }
    return true;
  }

  private void stopWaiting() {
    waiting = false;
    queuedAt.ifPresent(this::withdraw);
    queuedAt = Optional.empty();
  }

  /** Ends the wait; what is granted from now on is released. */
  void cancel() {
    stopWaiting();
    placedBy = Optional.empty();
    placements.removeListener(requestId, this);
  }

  private void withdraw(FleetMember member) {
    placements.notifyEnded(member, requestId);
  }

  private static StreamAdmissionQuery admissionQuery(
      StreamPlacementQuery query, Terms terms, boolean mayQueue) {
    return new StreamAdmissionQuery(
        query,
        mayQueue,
        terms.started(),
        terms.rank(),
        terms.account(),
        terms.targetMillis(),
        terms.maxWaitMillis(),
        terms.waitedMillis());
  }
}
