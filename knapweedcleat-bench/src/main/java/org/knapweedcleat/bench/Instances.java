package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RequestId;

/** The instances: which of them schedules, and which of them is paused. */
final class Instances {

  private static final long HOP_MICROS = 1_000;
  private static final long DETECTION_MILLIS = 1_000;

  private final EventQueue events;
  private final BenchFleet fleet;
  private final Policy policy;
  private final long[] pausedUntilMicros;
  private final Map<FailureDomainId, Integer> schedulers = new HashMap<>();
  private final List<Set<RequestRun>> running = new ArrayList<>();

  private Instances(EventQueue events, BenchFleet fleet, Policy policy) {
    this.events = events;
    this.fleet = fleet;
    this.policy = policy;
    this.pausedUntilMicros = new long[fleet.instanceDomains().size()];
    fleet.instanceDomains().forEach(domain -> running.add(new LinkedHashSet<>()));
  }

  static Instances of(EventQueue events, BenchFleet fleet, Policy policy) {
    return new Instances(events, fleet, policy);
  }

  /** Runs a task at an instance after one hop, or once it wakes up. */
  void deliver(int instance, Runnable task) {
    events.after(HOP_MICROS, () -> whenAwake(instance, task));
  }

  /** Runs a task at the scheduler of a failure domain, or at the asking instance itself. */
  void deliverToScheduler(int asking, FailureDomainId domain, Runnable task) {
    if (policy.isCentral()) {
      deliver(schedulerOf(domain), task);
    } else {
      whenAwake(asking, task);
    }
  }

  /** Pauses an instance; if it schedules, another takes over once that is noticed. */
  void pause(int instance, long millis) {
    pausedUntilMicros[instance] = events.nowMicros() + millis * 1_000;
    FailureDomainId domain = fleet.instanceDomains().get(instance);
    if (schedulerOf(domain) == instance && policy.isCentral()) {
      events.afterMillis(DETECTION_MILLIS, () -> replaceScheduler(domain));
    }
  }

  /** Moves all schedulers to other instances, as when the instances are replaced. */
  void replaceSchedulers() {
    fleet.instanceDomains().stream().distinct().forEach(this::replaceScheduler);
  }

  void opened(RequestRun run) {
    running.get(run.instance()).add(run);
  }

  void closed(RequestRun run) {
    running.get(run.instance()).remove(run);
  }

  List<RequestId> claims(int instance) {
    return running.get(instance).stream().map(RequestRun::request).toList();
  }

  boolean isPaused(int instance) {
    return pausedUntilMicros[instance] > events.nowMicros();
  }

  private int schedulerOf(FailureDomainId domain) {
    return schedulers.getOrDefault(domain, fleet.instanceDomains().indexOf(domain));
  }

  private void replaceScheduler(FailureDomainId domain) {
    int first = fleet.instanceDomains().indexOf(domain);
    int count = Collections.frequency(fleet.instanceDomains(), domain);
    schedulers.put(domain, first + (schedulerOf(domain) - first + 1) % count);
    policy.replaceScheduler(events.nowMillis(), domain);
    for (Set<RequestRun> runs : running) {
      List.copyOf(runs).forEach(run -> run.schedulerReplaced(domain));
    }
  }

  private void whenAwake(int instance, Runnable task) {
    if (isPaused(instance)) {
      events.at(pausedUntilMicros[instance], task);
    } else {
      task.run();
    }
  }
}
