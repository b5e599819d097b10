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
 * Finds requests that hold memory at an endpoint although no living incarnation serves them.
 *
 * <p>A held request that nobody claims is left alone for a grace time, since claims and load
 * reports are late. A request whose owner is silent may still be served on the other side of a
 * partition, so it is left alone for longer, unless the owner is known to have ended. It is then
 * cancelled, and again after each further grace time, until the endpoint no longer reports it.
 */
public final class OrphanDetector {

  /** How long what a silent owner may still serve is left alone. */
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
   * Returns a sweep that has seen nothing.
   *
   * @param graceMillis how long unclaimed memory is left alone, at least 0
   * @return the sweep
   * @throws IllegalArgumentException if the time is negative
   */
  public static OrphanDetector of(long graceMillis) {
    if (graceMillis < 0) {
      throw new IllegalArgumentException("grace of " + graceMillis + " ms");
    }
    return new OrphanDetector(graceMillis);
  }

  /**
   * Takes over what an incarnation runs; replaces what it claimed before.
   *
   * @param now the time in milliseconds
   * @param owner the incarnation
   * @param running all requests that it runs
   */
  public void updateClaims(long now, IncarnationId owner, List<RequestId> running) {
    if (!endedMillis.containsKey(owner)) {
      claims.put(owner, new Claims(now, Set.copyOf(running)));
    }
  }

  /**
   * Takes over which incarnations live; until one of them has told anew what it runs, requests
   * whose owner is not known may be its. Earlier runs of the same instances have ended.
   *
   * @param living all living incarnations
   */
  public void updateMembers(Set<IncarnationId> living) {
    members.clear();
    members.addAll(living);
    startNumbers.clear();
    living.forEach(member -> startNumbers.put(member.instance(), member.startNumber()));
  }

  /**
   * Drops the claims of an incarnation that has ended; what only it served is an orphan at once.
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
   * Tells whether a living incarnation claims a request.
   *
   * @param now the time in milliseconds
   * @param request the request
   * @return true if one does
   */
  public boolean isClaimed(long now, RequestId request) {
    return claims.values().stream().anyMatch(claim -> claim.covers(now, request));
  }

  /**
   * Forgets an endpoint that is gone or has restarted.
   *
   * @param endpoint the endpoint
   */
  public void removeEndpoint(EndpointId endpoint) {
    unclaimedSince.remove(endpoint);
  }

  /**
   * Compares what an endpoint holds with what is claimed.
   *
   * @param now the time in milliseconds
   * @param endpoint the endpoint
   * @param held the requests that hold memory there
   * @param placed tells which requests the scheduler itself has placed, wherever that is
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
            .orElseGet(() -> !members.stream().allMatch(each -> hasClaimedAfter(each, sinceMillis)));
    return mayBeRunning ? SILENT_OWNER_MILLIS : graceMillis;
  }

  /** A scheduler that has just started was told of no end; a later run of the instance tells it. */
  private boolean isEnded(IncarnationId owner) {
    Long currentStartNumber = startNumbers.get(owner.instance());
    return endedMillis.containsKey(owner) || currentStartNumber != null && currentStartNumber > owner.startNumber();
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
