package org.knapweedcleat.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.config.LinkSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.RetryBudget;
import org.knapweedcleat.core.schedule.ScheduleAction;

/** Runs a workload against one policy in virtual time. */
final class Simulation {

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int DRAIN_SECONDS = 90;
  private static final int TICK_INTERVAL_MILLIS = 20;
  private static final int CLAIM_INTERVAL_MILLIS = 1_000;
  private static final double RETRIES_PER_SUCCESS = 0.2;
  private static final int MAX_SAVED_RETRIES = 100;
  private static final double BITS_PER_BYTE = 8;

  private final EventQueue events = EventQueue.create();
  private final OutcomeRecorder outcomes = OutcomeRecorder.create();
  private final Map<RequestId, RequestCoordinator> requests = new HashMap<>();
  private final Map<ServiceId, RetryBudget> retryBudgets = new HashMap<>();
  private final Map<AccountId, TokenBucket> exactBuckets = new HashMap<>();
  private final BenchmarkFleet fleet;
  private final PlacementPolicy policy;
  private final AccountRateLimiter limiter;
  private final SimulatedEngineCluster engines;
  private final SimulatedRouterCluster instances;
  private final SimulatedLink regionLink;
  private final LinkSpec regionLinkSpec;

  private Simulation(
      BenchmarkFleet fleet,
      Scenario scenario,
      PlacementPolicy policy,
      AccountRateLimiter limiter,
      long seed) {
    this.fleet = fleet;
    this.policy = policy;
    this.limiter = limiter;
    this.engines = SimulatedEngineCluster.of(events, scenario, policy, fleet, seed);
    this.instances = SimulatedRouterCluster.of(events, fleet, policy);
    this.regionLinkSpec = fleet.document().links().get(0);
    double bytesPerSecond = regionLinkSpec.rateKilobitsPerSecond() * 1_000 / BITS_PER_BYTE;
    this.regionLink = SimulatedLink.of(events, bytesPerSecond * scenario.freeRegionLinkFraction());
  }

  static OutcomeRecorder run(
      BenchmarkFleet fleet,
      Scenario scenario,
      PlacementPolicy policy,
      AccountRateLimiter limiter,
      List<Arrival> arrivals,
      long seed) {
    Simulation simulation = new Simulation(fleet, scenario, policy, limiter, seed);
    scenario.scheduleFaults(simulation);
    return simulation.runToEnd(arrivals);
  }

  EventQueue events() {
    return events;
  }

  SimulatedEngineCluster engines() {
    return engines;
  }

  SimulatedRouterCluster instances() {
    return instances;
  }

  OutcomeRecorder outcomes() {
    return outcomes;
  }

  BenchmarkFleet fleet() {
    return fleet;
  }

  PlacementPolicy policy() {
    return policy;
  }

  SimulatedLink regionLink() {
    return regionLink;
  }

  long regionDelayMillis() {
    return regionLinkSpec.delayMillis();
  }

  RetryBudget retryBudget(ServiceId service) {
    return retryBudgets.computeIfAbsent(
        service, id -> RetryBudget.of(RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES));
  }

  /** Charges the rate limit, and records the tokens granted beyond the account's rate. */
  boolean chargeTokens(Arrival arrival) {
    long nowMicros = events.nowMicros();
    boolean granted =
        limiter.tryAcquire(
            nowMicros, arrival.account(), arrival.instanceIndex(), arrival.chargedTokens());
    if (granted) {
      outcomes.recordOverGrant(
          exactBucket(arrival.account()).takeUpTo(nowMicros, arrival.chargedTokens()));
    }
    return granted;
  }

  /** Executes the actions of a scheduler. */
  void execute(List<ScheduleAction> actions) {
    for (ScheduleAction action : actions) {
      if (action instanceof ScheduleAction.SendDecision decide) {
        RequestCoordinator request = requests.get(decide.decision().request());
        instances.deliver(request.instanceIndex(), () -> request.handleDecision(decide.decision()));
      } else if (action instanceof ScheduleAction.CancelOrphan cancel) {
        cancelOrphan(cancel.endpoint(), cancel.request());
      }
    }
  }

  private OutcomeRecorder runToEnd(List<Arrival> arrivals) {
    for (Arrival arrival : arrivals) {
      RequestCoordinator request = RequestCoordinator.of(this, arrival);
      requests.put(request.requestId(), request);
      events.scheduleAt(
          arrival.atMicros(), () -> instances.deliver(arrival.instanceIndex(), request::start));
    }
    engines.startLoadReports(this::applyLoad);
    events.repeatEveryMillis(TICK_INTERVAL_MILLIS, () -> execute(policy.tick(events.nowMillis())));
    events.repeatEveryMillis(CLAIM_INTERVAL_MILLIS, this::updateMembersAndClaims);
    events.runUntil((WorkloadGenerator.DURATION_SECONDS + DRAIN_SECONDS) * MICROS_PER_SECOND);
    outcomes.setHeldAtEnd(engines.heldRequests());
    return outcomes;
  }

  private void applyLoad(EndpointLoad load) {
    execute(policy.applyLoad(events.nowMillis(), load));
  }

  private void updateMembersAndClaims() {
    Set<IncarnationId> liveInstances = new HashSet<>();
    for (int instance = 0; instance < fleet.instanceDomains().size(); instance++) {
      liveInstances.add(fleet.incarnation(instance));
    }
    policy.updateMembers(liveInstances);
    for (int instance = 0; instance < fleet.instanceDomains().size(); instance++) {
      if (!instances.isPaused(instance)) {
        List<RequestId> claims = instances.activeRequestIds(instance);
        execute(policy.updateClaims(events.nowMillis(), fleet.incarnation(instance), claims));
      }
    }
  }

  private void cancelOrphan(EndpointId endpoint, RequestId request) {
    if (engines.decodeEngine(endpoint) != null) {
      engines.decodeEngine(endpoint).release(request);
    } else {
      engines.prefillEngine(endpoint).cancel(request);
    }
  }

  private TokenBucket exactBucket(AccountId account) {
    return exactBuckets.computeIfAbsent(
        account,
        id -> {
          var spec = fleet.document().accounts().get(id);
          return TokenBucket.of(spec.rateTokensPerSecond(), spec.burstTokens());
        });
  }
}
