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

/** The endpoints that one scheduler places work on. */
final class EndpointTable {

  private final SchedulePolicy policy;
  private final MovingAverage reportLag;
  private final Map<EndpointId, EndpointTrack> tracks = new TreeMap<>();
  private final Map<EndpointRole, List<EndpointTrack>> active = new EnumMap<>(EndpointRole.class);
  private long firstConfiguredMillis = Long.MIN_VALUE / 2;

  private EndpointTable(SchedulePolicy policy) {
    this.policy = policy;
    this.reportLag = MovingAverage.of(policy.reportLagMillis(), policy.learningWeight());
  }

  static EndpointTable of(SchedulePolicy policy) {
    return new EndpointTable(policy);
  }

  /** Takes over the declared endpoints; returns those that are gone. */
  Set<EndpointId> configure(long now, List<EndpointSpec> specs) {
    if (firstConfiguredMillis == Long.MIN_VALUE / 2) {
      firstConfiguredMillis = now;
    }
    Set<EndpointId> gone = new HashSet<>(tracks.keySet());
    for (EndpointSpec spec : specs) {
      gone.remove(spec.id());
      EndpointTrack track = tracks.get(spec.id());
      if (track == null) {
        tracks.put(spec.id(), EndpointTrack.of(spec, policy, reportLag));
      } else {
        track.respecify(spec);
      }
    }
    tracks.keySet().removeAll(gone);
    active.clear();
    for (EndpointTrack track : tracks.values()) {
      if (track.spec().state().takesNewWork()) {
        active.computeIfAbsent(track.spec().role(), role -> new ArrayList<>()).add(track);
      }
    }
    return gone;
  }

  /** Returns the endpoint, or null if it is not declared. */
  EndpointTrack get(EndpointId id) {
    return id == null ? null : tracks.get(id);
  }

  Collection<EndpointTrack> all() {
    return tracks.values();
  }

  /** Lists the endpoints that are not leaving. */
  List<EndpointTrack> active(EndpointRole role) {
    return active.getOrDefault(role, List.of());
  }

  /** Lists the endpoints that work may be placed on now. */
  List<EndpointTrack> usable(long now, EndpointRole role) {
    boolean warmingUp = isWarmingUp(now);
    List<EndpointTrack> usable = new ArrayList<>();
    for (EndpointTrack track : active(role)) {
      if (track.takesNewWork(now) && (!role.isEngine() || track.isReported() || !warmingUp)) {
        usable.add(track);
      }
    }
    return usable;
  }

  /** Tells whether the scheduler may not have heard yet of all that its predecessor placed. */
  boolean isWarmingUp(long now) {
    return now - firstConfiguredMillis < policy.warmUpMillis();
  }

  /** Returns the memory that may be promised; a new scheduler leaves half for work unheard of. */
  int freePieces(long now, EndpointTrack track) {
    return isWarmingUp(now) ? track.freePieces() - track.totalPieces() / 2 : track.freePieces();
  }
}
