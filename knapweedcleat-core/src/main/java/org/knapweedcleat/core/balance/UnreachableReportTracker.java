package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Tracks which endpoints other instances report as unreachable, and filters out repeated reports.
 *
 * <p>Only the transition of an endpoint from reachable to unreachable counts. If every repeated
 * report counted, a single isolated instance could keep all others away from endpoints that they
 * can reach.
 */
public final class UnreachableReportTracker {

  private final Map<IncarnationId, Set<EndpointId>> reported = new HashMap<>();

  private UnreachableReportTracker() {}

  /**
   * Returns a tracker without reports.
   *
   * @return the tracker
   */
  public static UnreachableReportTracker create() {
    return new UnreachableReportTracker();
  }

  /**
   * Replaces the report of an instance and returns what is new in it.
   *
   * @param reporter the reporting incarnation
   * @param unreachable all endpoints that it cannot reach at present
   * @return those that its previous report did not contain
   */
  public Set<EndpointId> update(IncarnationId reporter, Set<EndpointId> unreachable) {
    Set<EndpointId> previous =
        Optional.ofNullable(reported.put(reporter, Set.copyOf(unreachable))).orElse(Set.of());
    return unreachable.stream()
        .filter(endpoint -> !previous.contains(endpoint))
        .collect(Collectors.toSet());
  }

  /**
   * Removes the report of an incarnation that has ended.
   *
   * @param reporter the incarnation
   */
  public void forget(IncarnationId reporter) {
    reported.remove(reporter);
  }
}
