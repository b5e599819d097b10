package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.ScheduleAction.CancelOrphan;

/**
 * Finds requests that hold memory at an endpoint although no living incarnation claims them.
 *
 * <p>A held request that nobody claims is left alone for a grace time, since claims and load
 * reports are late. It is then cancelled, and again after each further grace time, until the
 * endpoint no longer reports it. A request that is claimed is left alone at every endpoint, even
 * where the scheduler did not place it: another scheduler may have.
 */
public final class OrphanSweep {

  private static final long ENDED_MEMORY_MILLIS = 60_000;

  private final long graceMillis;
  private final Map<IncarnationId, Set<RequestId>> claims = new HashMap<>();
  private final Set<IncarnationId> members = new HashSet<>();
  private final Map<IncarnationId, Long> claimedAt = new HashMap<>();
  private final Map<RequestId, Long> ownerEndedAt = new LinkedHashMap<>();
  private final Map<EndpointId, Map<RequestId, Long>> unclaimedSince = new HashMap<>();

  private OrphanSweep(long graceMillis) {
    this.graceMillis = graceMillis;
  }

  /**
   * Returns a sweep that has seen nothing.
   *
   * @param graceMillis how long unclaimed memory is left alone, at least 0
   * @return the sweep
   * @throws IllegalArgumentException if the time is negative
   */
  public static OrphanSweep of(long graceMillis) {
    if (graceMillis < 0) {
      throw new IllegalArgumentException("grace of " + graceMillis + " ms");
    }
    return new OrphanSweep(graceMillis);
  }

  /**
   * Takes over what an incarnation runs; replaces what it claimed before.
   *
   * @param now the time in milliseconds
   * @param owner the incarnation
   * @param running all requests that it runs
   */
  public void claims(long now, IncarnationId owner, List<RequestId> running) {
    claims.put(owner, new HashSet<>(running));
    claimedAt.put(owner, now);
  }

  /**
   * Takes over which incarnations live; a request is an orphan only once each of them has told anew
   * what it runs, unless its owner has ended.
   *
   * @param living all living incarnations
   */
  public void members(Set<IncarnationId> living) {
    members.clear();
    members.addAll(living);
  }

  /**
   * Drops the claims of an incarnation that has ended; what only it claimed is an orphan at once.
   *
   * @param now the time in milliseconds
   * @param owner the incarnation
   */
  public void incarnationEnded(long now, IncarnationId owner) {
    ownerEndedAt.values().removeIf(endedAt -> now - endedAt > ENDED_MEMORY_MILLIS);
    members.remove(owner);
    claimedAt.remove(owner);
    Set<RequestId> orphans = claims.remove(owner);
    if (orphans != null) {
      orphans.forEach(request -> ownerEndedAt.put(request, now));
    }
  }

  /**
   * Tells whether a living incarnation claims a request.
   *
   * @param request the request
   * @return true if one does
   */
  public boolean isClaimed(RequestId request) {
    return claims.values().stream().anyMatch(running -> running.contains(request));
  }

  /**
   * Forgets an endpoint that is gone or has restarted.
   *
   * @param endpoint the endpoint
   */
  public void forget(EndpointId endpoint) {
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
  public List<ScheduleAction> sweep(
      long now, EndpointId endpoint, List<RequestId> held, Predicate<RequestId> placed) {
    Map<RequestId, Long> before = unclaimedSince.getOrDefault(endpoint, Map.of());
    Map<RequestId, Long> after = new HashMap<>();
    List<ScheduleAction> actions = new ArrayList<>();
    for (RequestId request : held) {
      if (!placed.test(request) && !isClaimed(request)) {
        long since = before.getOrDefault(request, now);
        boolean due = hasNoOwner(now, since) || ownerEndedAt.containsKey(request);
        after.put(request, due ? now : since);
        if (due) {
          actions.add(new CancelOrphan(endpoint, request));
        }
      }
    }
    unclaimedSince.put(endpoint, after);
    return actions;
  }

  /** Tells whether all had the time and have taken it to claim what is held since then. */
  private boolean hasNoOwner(long now, long since) {
    long claimedAfter = since + graceMillis / 2;
    return now - since >= graceMillis
        && members.stream()
            .allMatch(member -> claimedAt.getOrDefault(member, Long.MIN_VALUE) >= claimedAfter);
  }
}
