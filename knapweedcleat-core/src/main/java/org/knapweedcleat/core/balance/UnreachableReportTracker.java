package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Which endpoints other instances cannot reach, by their word.
 *
 * <p>A word counts once, when an instance loses an endpoint. An instance that repeats it tells
 * nothing new: if it counted each time, one instance that is cut off would keep all others from
 * endpoints that they reach.
 */
public final class UnreachableReportTracker {

  private final Map<IncarnationId, Set<EndpointId>> reported = new HashMap<>();

  private UnreachableReportTracker() {}

  /**
   * Returns a book in which nobody has lost anything.
   *
   * @return the book
   */
  public static UnreachableReportTracker create() {
    return new UnreachableReportTracker();
  }

  /**
   * Takes what an instance cannot reach.
   *
   * @param run the instance's run
   * @param unreachable all endpoints that it cannot reach now
   * @return those of them that it could still reach by its last word
   */
  public Set<EndpointId> update(IncarnationId run, Set<EndpointId> unreachable) {
    Set<EndpointId> before =
        Optional.ofNullable(reported.put(run, Set.copyOf(unreachable))).orElse(Set.of());
    return unreachable.stream()
        .filter(endpoint -> !before.contains(endpoint))
        .collect(Collectors.toSet());
  }

  /**
   * Forgets a run that has ended.
   *
   * @param run the run
   */
  public void forget(IncarnationId run) {
    reported.remove(run);
  }
}
