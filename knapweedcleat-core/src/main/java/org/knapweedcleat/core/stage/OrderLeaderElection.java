package org.knapweedcleat.core.stage;

import java.util.Set;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Determines whether this instance is the leader, which alone may send orders to engines.
 *
 * <p>The leader is the first live instance by name, and only while it hears from every instance
 * that may be alive: in a network partition an instance is missing on both sides, so there is no
 * leader. A leader also waits for a stable period after each change of the fleet, so that two
 * instances never send orders shortly after each other.
 */
public final class OrderLeaderElection {

  private final InstanceId local;
  private final long stableMillis;
  private Set<InstanceId> stableMembers = Set.of();
  private long lastChangeMillis = Long.MIN_VALUE;

  private OrderLeaderElection(InstanceId local, long stableMillis) {
    this.local = local;
    this.stableMillis = stableMillis;
  }

  /**
   * Returns the election of an instance that knows no others.
   *
   * @param local the local instance
   * @param stableMillis the time for which the fleet has to be unchanged
   * @return the election
   */
  public static OrderLeaderElection of(InstanceId local, long stableMillis) {
    return new OrderLeaderElection(local, stableMillis);
  }

  /**
   * Updates the state of the fleet.
   *
   * @param nowMillis the current time
   * @param known the other instances that may be alive
   * @param live those of them that are live
   */
  public void observe(long nowMillis, Set<InstanceId> known, Set<InstanceId> live) {
    if (!known.equals(live)) {
      stableMembers = Set.of();
      lastChangeMillis = nowMillis;
    } else if (!known.equals(stableMembers) || lastChangeMillis == Long.MIN_VALUE) {
      stableMembers = Set.copyOf(known);
      lastChangeMillis = nowMillis;
    }
  }

  /**
   * Returns whether this instance is the leader.
   *
   * @param nowMillis the current time
   * @return true for one instance of a complete and stable fleet with at least two members
   */
  public boolean isLeader(long nowMillis) {
    boolean stable =
        lastChangeMillis != Long.MIN_VALUE && nowMillis - lastChangeMillis >= stableMillis;
    return stable
        && !stableMembers.isEmpty()
        && stableMembers.stream().allMatch(other -> local.compareTo(other) < 0);
  }
}
