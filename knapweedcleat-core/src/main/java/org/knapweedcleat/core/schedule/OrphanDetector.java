package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.ScheduleAction.CancelOrphan;

/**
 * Detects requests that hold memory at an endpoint although no live incarnation serves them.
 *
 * <p>An unclaimed request is kept for a grace period, because claims and load reports are delayed.
 * If its owner is silent, the request may still be served on the other side of a network partition
 * and is kept for longer, unless the owner is known to have ended. The request is then cancelled,
 * and cancelled again after each further period until the endpoint no longer reports it.
 */
public final class OrphanDetector {

  /** How long claims stay valid, and how long requests of a silent owner are kept. */
  static final long SILENT_OWNER_MILLIS = 60_000;

  private static final long ENDED_RETENTION_MILLIS = 600_000;

  private final long graceMillis;
  private final Map<IncarnationId, Claims> claims = new HashMap<>();
  private final Set<IncarnationId> members = new HashSet<>();
  private final Map<InstanceId, Long> startNumbers = new HashMap<>();
  private final Map<IncarnationId, Long> endedMillis = new HashMap<>();
  private final Map<EndpointId, Map<RequestId, Long>> unclaimedSince = new HashMap<>();

  private OrphanDetector(long graceMillis) {
    this.graceMillis = graceMillis;
  }

  /**
   * Returns a detector without claims or members.
   *
   * @param graceMillis how long an unclaimed request is kept, at least 0
   * @return the detector
   * @throws IllegalArgumentException if the period is negative
   */
  public static OrphanDetector of(long graceMillis) {
    if (graceMillis < 0) {
      throw new IllegalArgumentException("negative grace period: " + graceMillis + " ms");
    }
    return new OrphanDetector(graceMillis);
  }

  /**
   * Replaces the claims of an incarnation, unless it is known to have ended.
   *
   * @param now the time in milliseconds
   * @param owner the incarnation
   * @param running all requests that it is running
   */
  public void updateClaims(long now, IncarnationId owner, List<RequestId> running) {
    if (!endedMillis.containsKey(owner)) {
      claims.put(owner, new Claims(now, Set.copyOf(running)));
    }
  }

  /**
   * Replaces the set of live incarnations. A request of unknown owner may belong to any live
   * incarnation that has not sent new claims. Earlier incarnations of the same instances have
   * ended.
   *
   * @param living all live incarnations
   */
  public void updateMembers(Set<IncarnationId> living) {
    members.clear();
    members.addAll(living);
    startNumbers.clear();
    living.forEach(member -> startNumbers.put(member.instance(), member.startNumber()));
  }

  /**
   * Removes an ended incarnation and its claims; requests that only it served are now orphans.
   *
   * @param now the time in milliseconds
   * @param owner the incarnation
   */
  public void incarnationEnded(long now, IncarnationId owner) {
    endedMillis.values().removeIf(millis -> now - millis > ENDED_RETENTION_MILLIS);
    endedMillis.put(owner, now);
    claims.remove(owner);
    members.remove(owner);
  }

  /**
   * Returns whether a request has a claim that is still valid.
   *
   * @param now the time in milliseconds
   * @param request the request
   * @return true if it is claimed
   */
  public boolean isClaimed(long now, RequestId request) {
    return claims.values().stream().anyMatch(claim -> claim.covers(now, request));
  }

  /**
   * Discards the state of an endpoint that was removed or restarted.
   *
   * @param endpoint the endpoint
   */
  public void removeEndpoint(EndpointId endpoint) {
    unclaimedSince.remove(endpoint);
  }

  /**
   * Finds the unclaimed requests at an endpoint that are due for cancellation.
   *
   * @param now the time in milliseconds
   * @param endpoint the endpoint
   * @param held the requests that hold memory there
   * @param placed tests whether the scheduler has an active placement of a request at any endpoint
   * @return the cancellations that are due
   */
  public List<ScheduleAction> findOrphans(
      long now, EndpointId endpoint, List<RequestId> held, Predicate<RequestId> placed) {
    Map<RequestId, Long> previousSince = unclaimedSince.getOrDefault(endpoint, Map.of());
    Map<RequestId, Long> currentSince = new HashMap<>();
    List<ScheduleAction> actions = new ArrayList<>();
    for (RequestId request : held) {
      if (!placed.test(request) && !isClaimed(now, request)) {
        long sinceMillis = previousSince.getOrDefault(request, now);
        boolean due = now - sinceMillis >= graceMillis(request, sinceMillis);
        currentSince.put(request, due ? now : sinceMillis);
        if (due) {
          actions.add(new CancelOrphan(endpoint, request));
        }
      }
    }
    unclaimedSince.put(endpoint, currentSince);
    return actions;
  }

  private long graceMillis(RequestId request, long sinceMillis) {
    Optional<IncarnationId> owner = request.owner();
    if (owner.filter(this::isEnded).isPresent()) {
      return 0;
    }
    boolean mayBeRunning =
        owner
            .map(known -> !hasClaimedAfter(known, sinceMillis))
            .orElseGet(
                () -> !members.stream().allMatch(each -> hasClaimedAfter(each, sinceMillis)));
    return mayBeRunning ? SILENT_OWNER_MILLIS : graceMillis;
  }

  /** A new scheduler has missed earlier end notices, so a later incarnation also proves the end. */
  private boolean isEnded(IncarnationId owner) {
    Long currentStartNumber = startNumbers.get(owner.instance());
    return endedMillis.containsKey(owner)
        || currentStartNumber != null && currentStartNumber > owner.startNumber();
  }

  private boolean hasClaimedAfter(IncarnationId owner, long millis) {
    Claims latest = claims.get(owner);
    return latest != null && latest.atMillis() > millis;
  }

  private record Claims(long atMillis, Set<RequestId> running) {
    boolean covers(long now, RequestId request) {
      return now - atMillis < SILENT_OWNER_MILLIS && running.contains(request);
    }
  }
}
