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

/** The core's scheduler, one for a failure domain or one for each instance that places alone. */
final class SchedulerPolicy implements Policy {

  private final BenchFleet fleet;
  private final boolean alone;
  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());
  private final Map<String, PoolScheduler> schedulers = new TreeMap<>();

  private SchedulerPolicy(BenchFleet fleet, boolean alone) {
    this.fleet = fleet;
    this.alone = alone;
  }

  static SchedulerPolicy shared(BenchFleet fleet) {
    return new SchedulerPolicy(fleet, false);
  }

  static SchedulerPolicy alone(BenchFleet fleet) {
    return new SchedulerPolicy(fleet, true);
  }

  InvariantMonitor monitor() {
    return monitor;
  }

  @Override
  public List<ScheduleAction> submit(long now, FailureDomainId domain, PlacementRequest request) {
    return scheduler(now, domain, request.owner()).submit(now, request);
  }

  @Override
  public List<ScheduleAction> progress(
      long now, FailureDomainId domain, IncarnationId owner, PlacementProgress progress) {
    return scheduler(now, domain, owner).progress(now, progress);
  }

  @Override
  public List<ScheduleAction> report(long now, EndpointLoad load) {
    List<ScheduleAction> actions = new ArrayList<>();
    FailureDomainId domain = fleet.document().endpoints().get(load.endpoint()).domain();
    if (!alone) {
      scheduler(now, domain, null);
    }
    schedulers.forEach(
        (key, scheduler) -> {
          if (key.startsWith(domain + "/")) {
            actions.addAll(scheduler.applyLoad(now, load));
          }
        });
    return actions;
  }

  @Override
  public List<ScheduleAction> tick(long now) {
    List<ScheduleAction> actions = new ArrayList<>();
    schedulers.values().forEach(scheduler -> actions.addAll(scheduler.tick(now)));
    return actions;
  }

  @Override
  public void cacheHint(CacheHint hint) {
    FailureDomainId domain = fleet.document().endpoints().get(hint.endpoint()).domain();
    schedulers.forEach(
        (key, scheduler) -> {
          if (key.startsWith(domain + "/")) {
            scheduler.applyCacheHint(hint);
          }
        });
  }

  @Override
  public void members(Set<IncarnationId> living) {
    schedulers.values().forEach(scheduler -> scheduler.updateMembers(living));
  }

  @Override
  public List<ScheduleAction> claims(long now, IncarnationId owner, List<RequestId> running) {
    List<ScheduleAction> actions = new ArrayList<>();
    schedulers.values().forEach(scheduler -> actions.addAll(scheduler.updateClaims(now, owner, running)));
    return actions;
  }

  @Override
  public void replaceScheduler(long now, FailureDomainId domain) {
    schedulers.remove(key(domain, null));
  }

  @Override
  public boolean isCentral() {
    return !alone;
  }

  private PoolScheduler scheduler(long now, FailureDomainId domain, IncarnationId owner) {
    return schedulers.computeIfAbsent(key(domain, owner), key -> create(now, domain));
  }

  private PoolScheduler create(long now, FailureDomainId domain) {
    PoolScheduler scheduler =
        PoolScheduler.of(fleet.pool(), domain, SchedulePolicy.defaults(), monitor);
    scheduler.configure(now, fleet.document());
    return scheduler;
  }

  private String key(FailureDomainId domain, IncarnationId owner) {
    return domain + "/" + (alone ? owner : "");
  }
}
