package org.knapweedcleat.bench;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.CacheHint;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PoolScheduler;
import org.knapweedcleat.core.schedule.ScheduleAction;
import org.knapweedcleat.core.schedule.SchedulePolicy;

/** Runs the core's scheduler, one for each failure domain or one for each instance and domain. */
final class SchedulerPolicy implements PlacementPolicy {

  private final BenchmarkFleet fleet;
  private final boolean perInstance;
  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final Map<String, PoolScheduler> schedulers = new TreeMap<>();

  private SchedulerPolicy(BenchmarkFleet fleet, boolean perInstance) {
    this.fleet = fleet;
    this.perInstance = perInstance;
  }

  static SchedulerPolicy perDomain(BenchmarkFleet fleet) {
    return new SchedulerPolicy(fleet, false);
  }

  static SchedulerPolicy perInstance(BenchmarkFleet fleet) {
    return new SchedulerPolicy(fleet, true);
  }

  InvariantMonitor monitor() {
    return monitor;
  }

  @Override
  public List<ScheduleAction> submit(
      long nowMillis, FailureDomainId domain, PlacementRequest request) {
    return scheduler(nowMillis, domain, request.owner()).submit(nowMillis, request);
  }

  @Override
  public List<ScheduleAction> progress(
      long nowMillis, FailureDomainId domain, IncarnationId owner, PlacementProgress progress) {
    return scheduler(nowMillis, domain, owner).progress(nowMillis, progress);
  }

  @Override
  public List<ScheduleAction> applyLoad(long nowMillis, EndpointLoad load) {
    List<ScheduleAction> actions = new ArrayList<>();
    FailureDomainId domain = fleet.document().endpoints().get(load.endpoint()).domain();
    if (!perInstance) {
      scheduler(nowMillis, domain, null);
    }
    schedulers.forEach(
        (key, scheduler) -> {
          if (key.startsWith(domain + "/")) {
            actions.addAll(scheduler.applyLoad(nowMillis, load));
          }
        });
    return actions;
  }

  @Override
  public List<ScheduleAction> tick(long nowMillis) {
    List<ScheduleAction> actions = new ArrayList<>();
    schedulers.values().forEach(scheduler -> actions.addAll(scheduler.tick(nowMillis)));
    return actions;
  }

  @Override
  public void applyCacheHint(CacheHint hint) {
    FailureDomainId domain = fleet.document().endpoints().get(hint.endpoint()).domain();
    schedulers.forEach(
        (key, scheduler) -> {
          if (key.startsWith(domain + "/")) {
            scheduler.applyCacheHint(hint);
          }
        });
  }

  @Override
  public void updateMembers(Set<IncarnationId> liveInstances) {
    schedulers.values().forEach(scheduler -> scheduler.updateMembers(liveInstances));
  }

  @Override
  public List<ScheduleAction> updateClaims(
      long nowMillis, IncarnationId owner, List<RequestId> running) {
    List<ScheduleAction> actions = new ArrayList<>();
    schedulers
        .values()
        .forEach(scheduler -> actions.addAll(scheduler.updateClaims(nowMillis, owner, running)));
    return actions;
  }

  @Override
  public void replaceScheduler(long nowMillis, FailureDomainId domain) {
    schedulers.remove(key(domain, null));
  }

  @Override
  public boolean isCentral() {
    return !perInstance;
  }

  private PoolScheduler scheduler(long nowMillis, FailureDomainId domain, IncarnationId owner) {
    return schedulers.computeIfAbsent(key(domain, owner), key -> create(nowMillis, domain));
  }

  private PoolScheduler create(long nowMillis, FailureDomainId domain) {
    PoolScheduler scheduler =
        PoolScheduler.of(fleet.pool(), domain, SchedulePolicy.defaults(), monitor);
    scheduler.configure(nowMillis, fleet.document());
    return scheduler;
  }

  private String key(FailureDomainId domain, IncarnationId owner) {
    return domain + "/" + (perInstance ? owner : "");
  }
}
