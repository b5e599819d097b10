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

/** Places requests in a run. All times are virtual, in milliseconds. */
interface PlacementPolicy {

  List<ScheduleAction> submit(long nowMillis, FailureDomainId domain, PlacementRequest request);

  List<ScheduleAction> progress(
      long nowMillis, FailureDomainId domain, IncarnationId owner, PlacementProgress progress);

  List<ScheduleAction> applyLoad(long nowMillis, EndpointLoad load);

  List<ScheduleAction> tick(long nowMillis);

  /** Hears of a cache event. */
  default void applyCacheHint(CacheHint hint) {}

  /** Hears what an instance runs. */
  default List<ScheduleAction> updateClaims(long nowMillis, IncarnationId owner, List<RequestId> running) {
    return List.of();
  }

  /** Hears which instances live. */
  default void updateMembers(Set<IncarnationId> liveInstances) {}

  /** Loses the state that it has for a failure domain. */
  default void replaceScheduler(long nowMillis, FailureDomainId domain) {}

  /** Tells whether one instance of each failure domain decides for all others there. */
  default boolean isCentral() {
    return true;
  }
}
