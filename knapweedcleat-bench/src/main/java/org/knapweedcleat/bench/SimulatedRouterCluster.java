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

/** Tracks which instances run the schedulers, which are paused, and their active requests. */
final class SimulatedRouterCluster {

  private static final long NETWORK_DELAY_MICROS = 1_000;
  private static final long FAILURE_DETECTION_MILLIS = 1_000;

  private final EventQueue events;
  private final BenchmarkFleet fleet;
  private final PlacementPolicy policy;
  private final long[] pausedUntilMicros;
  private final Map<FailureDomainId, Integer> schedulers = new HashMap<>();
  private final List<Set<RequestCoordinator>> activeRequests = new ArrayList<>();

  private SimulatedRouterCluster(EventQueue events, BenchmarkFleet fleet, PlacementPolicy policy) {
    this.events = events;
    this.fleet = fleet;
    this.policy = policy;
    this.pausedUntilMicros = new long[fleet.instanceDomains().size()];
    fleet.instanceDomains().forEach(domain -> activeRequests.add(new LinkedHashSet<>()));
  }

  static SimulatedRouterCluster of(
      EventQueue events, BenchmarkFleet fleet, PlacementPolicy policy) {
    return new SimulatedRouterCluster(events, fleet, policy);
  }

  /** Runs a task at an instance after the network delay, or later when the instance resumes. */
  void deliver(int instance, Runnable task) {
    events.scheduleAfter(NETWORK_DELAY_MICROS, () -> runWhenResumed(instance, task));
  }

  /** Runs a task at the scheduler of a domain, or at the sender if the policy is not central. */
  void deliverToScheduler(int sender, FailureDomainId domain, Runnable task) {
    if (policy.isCentral()) {
      deliver(schedulerOf(domain), task);
    } else {
      runWhenResumed(sender, task);
    }
  }

  /** Pauses an instance; its scheduler moves to another one after the detection time. */
  void pause(int instance, long durationMillis) {
    pausedUntilMicros[instance] = events.nowMicros() + durationMillis * 1_000;
    FailureDomainId domain = fleet.instanceDomains().get(instance);
    if (schedulerOf(domain) == instance && policy.isCentral()) {
      events.scheduleAfterMillis(FAILURE_DETECTION_MILLIS, () -> replaceScheduler(domain));
    }
  }

  /** Moves all schedulers to other instances, as in a rolling replacement of the instances. */
  void replaceSchedulers() {
    fleet.instanceDomains().stream().distinct().forEach(this::replaceScheduler);
  }

  void addRequest(RequestCoordinator request) {
    activeRequests.get(request.instanceIndex()).add(request);
  }

  void removeRequest(RequestCoordinator request) {
    activeRequests.get(request.instanceIndex()).remove(request);
  }

  List<RequestId> activeRequestIds(int instance) {
    return activeRequests.get(instance).stream().map(RequestCoordinator::requestId).toList();
  }

  boolean isPaused(int instance) {
    return pausedUntilMicros[instance] > events.nowMicros();
  }

  private int schedulerOf(FailureDomainId domain) {
    return schedulers.getOrDefault(domain, fleet.instanceDomains().indexOf(domain));
  }

  private void replaceScheduler(FailureDomainId domain) {
    int firstIndex = fleet.instanceDomains().indexOf(domain);
    int instanceCount = Collections.frequency(fleet.instanceDomains(), domain);
    schedulers.put(domain, firstIndex + (schedulerOf(domain) - firstIndex + 1) % instanceCount);
    policy.replaceScheduler(events.nowMillis(), domain);
    for (Set<RequestCoordinator> requests : activeRequests) {
      List.copyOf(requests).forEach(request -> request.onSchedulerReplaced(domain));
    }
  }

  private void runWhenResumed(int instance, Runnable task) {
    if (isPaused(instance)) {
      events.scheduleAt(pausedUntilMicros[instance], task);
    } else {
      task.run();
    }
  }
}
