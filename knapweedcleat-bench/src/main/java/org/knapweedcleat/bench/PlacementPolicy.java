package org.knapweedcleat.bench;

import java.util.List;
import java.util.Set;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.CacheHint;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.ScheduleAction;

/** Decides on which engines requests run. All times are virtual. */
interface PlacementPolicy {

  List<ScheduleAction> submit(long nowMillis, FailureDomainId domain, PlacementRequest request);

  List<ScheduleAction> progress(
      long nowMillis, FailureDomainId domain, IncarnationId owner, PlacementProgress progress);

  List<ScheduleAction> applyLoad(long nowMillis, EndpointLoad load);

  List<ScheduleAction> tick(long nowMillis);

  /** Applies a cache event of a prefill engine. */
  default void applyCacheHint(CacheHint hint) {}

  /** Updates the requests that an instance claims to run. */
  default List<ScheduleAction> updateClaims(
      long nowMillis, IncarnationId owner, List<RequestId> running) {
    return List.of();
  }

  /** Updates the set of live instances. */
  default void updateMembers(Set<IncarnationId> liveInstances) {}

  /** Drops the scheduler state of a failure domain, as when another instance takes over. */
  default void replaceScheduler(long nowMillis, FailureDomainId domain) {}

  /** Returns whether one instance of each failure domain decides for all instances. */
  default boolean isCentral() {
    return true;
  }
}
