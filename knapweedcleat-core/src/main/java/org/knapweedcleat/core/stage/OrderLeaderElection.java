package org.knapweedcleat.core.stage;

import java.util.Set;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Decides whether this instance may give orders to engines.
 *
 * <p>Orders are given by one instance, the first by name, and only while it hears every instance
 * that may live: on both sides of a cut somebody is missing, so nobody gives orders. It waits after
 * each change of the fleet, so that two instances never give orders shortly after each other.
 */
public final class OrderLeaderElection {

  private final InstanceId local;
  private final long stableMillis;
  private Set<InstanceId> stableMembers = Set.of();
  private long lastChangeMillis = Long.MIN_VALUE;

  private OrderLeaderElection(InstanceId self, long quietMillis) {
    this.local = self;
    this.stableMillis = quietMillis;
  }

  /**
   * Returns the decision of an instance that has heard nobody.
   *
   * @param self the own instance
   * @param quietMillis how long the fleet has to be unchanged
   * @return the decision
   */
  public static OrderLeaderElection of(InstanceId self, long quietMillis) {
    return new OrderLeaderElection(self, quietMillis);
  }

  /**
   * Takes what is known of the fleet.
   *
   * @param nowMillis the time
   * @param possible the other instances that may live
   * @param live those of them that were heard lately
   */
  public void observe(long nowMillis, Set<InstanceId> possible, Set<InstanceId> live) {
    if (!possible.equals(live)) {
      stableMembers = Set.of();
      lastChangeMillis = nowMillis;
    } else if (!possible.equals(stableMembers) || lastChangeMillis == Long.MIN_VALUE) {
      stableMembers = Set.copyOf(possible);
      lastChangeMillis = nowMillis;
    }
  }

  /**
   * Tells whether orders may be given now.
   *
   * @param nowMillis the time
   * @return true for one instance of a fleet that is whole and unchanged
   */
  public boolean isLeader(long nowMillis) {
    boolean quiet = lastChangeMillis != Long.MIN_VALUE && nowMillis - lastChangeMillis >= stableMillis;
    return quiet
        && !stableMembers.isEmpty()
        && stableMembers.stream().allMatch(other -> local.compareTo(other) < 0);
  }
}
