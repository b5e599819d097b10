package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;

/** The endpoints on which one scheduler may place work. */
final class EndpointTable {

  private final SchedulePolicy policy;
  private final MovingAverage reportLag;
  private final Map<EndpointId, EndpointTracker> trackers = new TreeMap<>();
  private final Map<EndpointRole, List<EndpointTracker>> active = new EnumMap<>(EndpointRole.class);
  private long firstConfiguredMillis = Long.MIN_VALUE / 2;

  private EndpointTable(SchedulePolicy policy) {
    this.policy = policy;
    this.reportLag = MovingAverage.of(policy.reportLagMillis(), policy.learningWeight());
  }

  static EndpointTable of(SchedulePolicy policy) {
    return new EndpointTable(policy);
  }

  /** Applies the declared endpoints and returns the ids of removed ones. */
  Set<EndpointId> configure(long now, List<EndpointSpec> specs) {
    if (firstConfiguredMillis == Long.MIN_VALUE / 2) {
      firstConfiguredMillis = now;
    }
    Set<EndpointId> removed = new HashSet<>(trackers.keySet());
    for (EndpointSpec spec : specs) {
      removed.remove(spec.id());
      EndpointTracker tracker = trackers.get(spec.id());
      if (tracker == null) {
        trackers.put(spec.id(), EndpointTracker.of(spec, policy, reportLag));
      } else {
        tracker.updateSpec(spec);
      }
    }
    trackers.keySet().removeAll(removed);
    active.clear();
    for (EndpointTracker tracker : trackers.values()) {
      if (tracker.spec().state().acceptsNewWork()) {
        active.computeIfAbsent(tracker.spec().role(), role -> new ArrayList<>()).add(tracker);
      }
    }
    return removed;
  }

  /** Returns the endpoint's tracker, or null if it is not declared. */
  EndpointTracker get(EndpointId id) {
    return id == null ? null : trackers.get(id);
  }

  Collection<EndpointTracker> all() {
    return trackers.values();
  }

  /** Returns the endpoints of a role that are not leaving. */
  List<EndpointTracker> active(EndpointRole role) {
    return active.getOrDefault(role, List.of());
  }

  /** Returns the endpoints of a role that accept work now. */
  List<EndpointTracker> usable(long now, EndpointRole role) {
    boolean warmingUp = isWarmingUp(now);
    List<EndpointTracker> usable = new ArrayList<>();
    for (EndpointTracker tracker : active(role)) {
      if (tracker.takesNewWork(now) && (!role.isEngine() || tracker.isReported() || !warmingUp)) {
        usable.add(tracker);
      }
    }
    return usable;
  }

  /** Returns whether load reports may not yet show all work that the previous scheduler placed. */
  boolean isWarmingUp(long now) {
    return now - firstConfiguredMillis < policy.warmUpMillis();
  }

  /** Returns the allocatable memory; during warm-up, half is kept back for unreported work. */
  int freePieces(long now, EndpointTracker tracker) {
    return isWarmingUp(now)
        ? tracker.freePieces() - tracker.totalPieces() / 2
        : tracker.freePieces();
  }
}
