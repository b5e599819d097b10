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

/** One run: a workload against one policy, in virtual time. */
final class Simulation {

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int DRAIN_SECONDS = 90;
  private static final int TICK_MILLIS = 20;
  private static final int CLAIM_MILLIS = 1_000;
  private static final double RETRIES_PER_SUCCESS = 0.2;
  private static final int SAVED_RETRIES = 100;
  private static final double BITS_PER_BYTE = 8;

  private final EventQueue events = EventQueue.create();
  private final Outcomes outcomes = Outcomes.create();
  private final Map<RequestId, RequestRun> runs = new HashMap<>();
  private final Map<ServiceId, RetryBudget> budgets = new HashMap<>();
  private final Map<AccountId, TokenBucket> oracle = new HashMap<>();
  private final BenchFleet fleet;
  private final Policy policy;
  private final Limits limits;
  private final Engines engines;
  private final Instances instances;
  private final FakeLink regionLink;
  private final LinkSpec regionLinkSpec;

  private Simulation(BenchFleet fleet, Scenario scenario, Policy policy, Limits limits, long seed) {
    this.fleet = fleet;
    this.policy = policy;
    this.limits = limits;
    this.engines = Engines.of(events, scenario, policy, fleet, seed);
    this.instances = Instances.of(events, fleet, policy);
    this.regionLinkSpec = fleet.document().links().get(0);
    double bytesPerSecond = regionLinkSpec.rateKilobitsPerSecond() * 1_000 / BITS_PER_BYTE;
    this.regionLink = FakeLink.of(events, bytesPerSecond * scenario.regionLinkShare());
  }

  static Outcomes run(
      BenchFleet fleet,
      Scenario scenario,
      Policy policy,
      Limits limits,
      List<Arrival> arrivals,
      long seed) {
    Simulation simulation = new Simulation(fleet, scenario, policy, limits, seed);
    scenario.disturb(simulation);
    return simulation.serve(arrivals);
  }

  EventQueue events() {
    return events;
  }

  Engines engines() {
    return engines;
  }

  Instances instances() {
    return instances;
  }

  Outcomes outcomes() {
    return outcomes;
  }

  BenchFleet fleet() {
    return fleet;
  }

  Policy policy() {
    return policy;
  }

  FakeLink regionLink() {
    return regionLink;
  }

  long regionDelayMillis() {
    return regionLinkSpec.delayMillis();
  }

  RetryBudget budget(ServiceId service) {
    return budgets.computeIfAbsent(
        service, id -> RetryBudget.of(RETRIES_PER_SUCCESS, SAVED_RETRIES));
  }

  /** Takes tokens from the limit, and counts what was granted beyond the account's rate. */
  boolean takeTokens(Arrival arrival) {
    long now = events.nowMicros();
    boolean taken = limits.take(now, arrival.account(), arrival.instance(), arrival.limitTokens());
    if (taken) {
      outcomes.overGranted(oracle(arrival.account()).force(now, arrival.limitTokens()));
    }
    return taken;
  }

  /** Carries out what a scheduler wants done. */
  void execute(List<ScheduleAction> actions) {
    for (ScheduleAction action : actions) {
      if (action instanceof ScheduleAction.SendDecision decide) {
        RequestRun run = runs.get(decide.decision().request());
        instances.deliver(run.instance(), () -> run.decided(decide.decision()));
      } else if (action instanceof ScheduleAction.CancelOrphan cancel) {
        cancelOrphan(cancel.endpoint(), cancel.request());
      }
    }
  }

  private Outcomes serve(List<Arrival> arrivals) {
    for (Arrival arrival : arrivals) {
      RequestRun run = RequestRun.of(this, arrival);
      runs.put(run.request(), run);
      events.at(arrival.atMicros(), () -> instances.deliver(arrival.instance(), run::start));
    }
    engines.startReports(this::reported);
    events.everyMillis(TICK_MILLIS, () -> execute(policy.tick(events.nowMillis())));
    events.everyMillis(CLAIM_MILLIS, this::claim);
    events.runUntil((Workload.DURATION_SECONDS + DRAIN_SECONDS) * MICROS_PER_SECOND);
    outcomes.noteHeldAtEnd(engines.heldRequests());
    return outcomes;
  }

  private void reported(EndpointLoad load) {
    execute(policy.report(events.nowMillis(), load));
  }

  private void claim() {
    Set<IncarnationId> living = new HashSet<>();
    for (int instance = 0; instance < fleet.instanceDomains().size(); instance++) {
      living.add(fleet.incarnation(instance));
    }
    policy.members(living);
    for (int instance = 0; instance < fleet.instanceDomains().size(); instance++) {
      if (!instances.isPaused(instance)) {
        List<RequestId> claims = instances.claims(instance);
        execute(policy.claims(events.nowMillis(), fleet.incarnation(instance), claims));
      }
    }
  }

  private void cancelOrphan(EndpointId endpoint, RequestId request) {
    if (engines.decode(endpoint) != null) {
      engines.decode(endpoint).release(request);
    } else {
      engines.prefill(endpoint).cancel(request);
    }
  }

  private TokenBucket oracle(AccountId account) {
    return oracle.computeIfAbsent(
        account,
        id -> {
          var spec = fleet.document().accounts().get(id);
          return TokenBucket.of(spec.rateTokensPerSecond(), spec.burstTokens());
        });
  }
}
