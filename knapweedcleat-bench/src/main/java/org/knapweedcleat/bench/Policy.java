package org.knapweedcleat.bench;

import java.util.List;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.CacheHint;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.ScheduleAction;

/** Places requests in a run. All times are virtual, in milliseconds. */
interface Policy {

  List<ScheduleAction> submit(long now, FailureDomainId domain, PlacementRequest request);

  List<ScheduleAction> progress(
      long now, FailureDomainId domain, IncarnationId owner, PlacementProgress progress);

  List<ScheduleAction> report(long now, EndpointLoad load);

  List<ScheduleAction> tick(long now);

  /** Hears of a cache event. */
  default void cacheHint(CacheHint hint) {}

  /** Hears what an instance runs. */
  default List<ScheduleAction> claims(long now, IncarnationId owner, List<RequestId> running) {
    return List.of();
  }

  /** Loses the state that it has for a failure domain. */
  default void replaceScheduler(long now, FailureDomainId domain) {}

  /** Tells whether one instance of each failure domain decides for all others there. */
  default boolean isCentral() {
    return true;
  }
}
