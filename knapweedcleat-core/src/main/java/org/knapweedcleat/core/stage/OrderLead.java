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
public final class OrderLead {

  private final InstanceId self;
  private final long quietMillis;
  private Set<InstanceId> members = Set.of();
  private long sinceMillis = Long.MIN_VALUE;

  private OrderLead(InstanceId self, long quietMillis) {
    this.self = self;
    this.quietMillis = quietMillis;
  }

  /**
   * Returns the decision of an instance that has heard nobody.
   *
   * @param self the own instance
   * @param quietMillis how long the fleet has to be unchanged
   * @return the decision
   */
  public static OrderLead of(InstanceId self, long quietMillis) {
    return new OrderLead(self, quietMillis);
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
      members = Set.of();
      sinceMillis = nowMillis;
    } else if (!possible.equals(members) || sinceMillis == Long.MIN_VALUE) {
      members = Set.copyOf(possible);
      sinceMillis = nowMillis;
    }
  }

  /**
   * Tells whether orders may be given now.
   *
   * @param nowMillis the time
   * @return true for one instance of a fleet that is whole and unchanged
   */
  public boolean mayOrder(long nowMillis) {
    boolean quiet = sinceMillis != Long.MIN_VALUE && nowMillis - sinceMillis >= quietMillis;
    return quiet
        && !members.isEmpty()
        && members.stream().allMatch(other -> self.compareTo(other) < 0);
  }
}
