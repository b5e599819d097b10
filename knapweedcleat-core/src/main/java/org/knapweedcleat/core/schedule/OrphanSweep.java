package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.ScheduleAction.CancelOrphan;

/**
 * Finds requests that hold memory at an endpoint although no living incarnation claims them.
 *
 * <p>A held request that nobody claims is left alone for a grace time, since claims and load
 * reports are late. It is then cancelled, and again after each further grace time, until the
 * endpoint no longer reports it.
 */
public final class OrphanSweep {

  private static final long ENDED_MEMORY_MILLIS = 60_000;

  private final long graceMillis;
  private final Map<IncarnationId, Set<RequestId>> claims = new HashMap<>();
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
   * @param owner the incarnation
   * @param running all requests that it runs
   */
  public void claims(IncarnationId owner, List<RequestId> running) {
    claims.put(owner, new HashSet<>(running));
  }

  /**
   * Drops the claims of an incarnation that has ended; what only it claimed is an orphan at once.
   *
   * @param now the time in milliseconds
   * @param owner the incarnation
   */
  public void incarnationEnded(long now, IncarnationId owner) {
    ownerEndedAt.values().removeIf(endedAt -> now - endedAt > ENDED_MEMORY_MILLIS);
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
   * @param expectations what the scheduler itself knows of each request
   * @return the cancellations that are due
   */
  public List<ScheduleAction> sweep(
      long now, EndpointId endpoint, List<RequestId> held, Expectations expectations) {
    Map<RequestId, Long> before = unclaimedSince.getOrDefault(endpoint, Map.of());
    Map<RequestId, Long> after = new HashMap<>();
    List<ScheduleAction> actions = new ArrayList<>();
    for (RequestId request : held) {
      if (!isExpected(endpoint, request, expectations)) {
        long since = before.getOrDefault(request, now);
        boolean due = now - since >= graceMillis || ownerEndedAt.containsKey(request);
        after.put(request, due ? now : since);
        if (due) {
          actions.add(new CancelOrphan(endpoint, request));
        }
      }
    }
    unclaimedSince.put(endpoint, after);
    return actions;
  }

  private boolean isExpected(EndpointId endpoint, RequestId request, Expectations expectations) {
    return switch (expectations.of(endpoint, request)) {
      case HERE -> true;
      case ELSEWHERE -> false;
      case UNKNOWN -> isClaimed(request);
    };
  }

  /** What the scheduler knows of a request. */
  public enum Expectation {
    /** It was placed on this endpoint. */
    HERE,
    /** It was placed, but on other endpoints. */
    ELSEWHERE,
    /** The scheduler has no placement of it. */
    UNKNOWN
  }

  /** Tells where a request is expected. */
  @FunctionalInterface
  public interface Expectations {

    /**
     * Tells what is known of a request that an endpoint holds.
     *
     * @param endpoint the endpoint
     * @param request the request
     * @return what is known
     */
    Expectation of(EndpointId endpoint, RequestId request);
  }
}
