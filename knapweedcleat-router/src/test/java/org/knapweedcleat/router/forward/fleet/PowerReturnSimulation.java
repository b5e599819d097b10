package org.knapweedcleat.router.forward.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.forward.AttemptLedger;
import org.knapweedcleat.core.forward.RetryDecision;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.core.room.CapacityWaitPolicy;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;
import org.knapweedcleat.router.forward.startup.StartupAdmission;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;

/**
 * Simulates a large fleet whose instances all start within some seconds while callers that have
 * waited return. Streams are placed as {@code StreamingCall} does without ranks. Engines keep the
 * prompts that they have read; refused callers return up to three times.
 */
final class PowerReturnSimulation {

  private static final StorePosition POSITION = StorePosition.of(1, 5);
  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final String[] DOMAINS = {"a", "b", "c", "d", "e", "f"};
  private static final long MEMORY_TOKENS = 28_798;
  private static final EngineProfile PROFILE = new EngineProfile(48, MEMORY_TOKENS, 500, 13);
  private static final long OUTPUT_TOKENS = 897;
  private static final long TARGET_MILLIS = 1_000;
  private static final long DEADLINE_MILLIS = 12_000;
  private static final long COORDINATOR_RETRY_MILLIS = 150;
  private static final long LOCAL_RETRY_MILLIS = 25;
  private static final long REFUSED_RETRY_MILLIS = 700;
  private static final long STEP_MILLIS = 20;
  private static final int MAX_RETURNS = 3;
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.03;
  private static final ForwardRoute ROUTE =
      new ForwardRoute(
          "r",
          "h",
          "/",
          CallKind.STREAM,
          true,
          true,
          DEADLINE_MILLIS,
          TARGET_MILLIS,
          300,
          2,
          0,
          List.of(new ServiceShare(SERVICE, 1)),
          Set.of());

  private final Random random;
  private final boolean limited;
  private final SimulatedFleet fleet;
  private final List<EndpointEntry> entries = new ArrayList<>();
  private final Map<EndpointId, Long> usedTokens = new HashMap<>();
  private final Map<EndpointId, Double> busyUntilMillis = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Outcome outcome = new Outcome();
  private long beginMillis;
  private long nextNumber;

  /** The calls by outcome. */
  static final class Outcome {
    int calls;
    int onTime;
    int late;
    int refusals;
    int engineRefusals;
    long waited;
    long refusedAtStart;

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d calls, %d on time, %d late, %d not served, %d refusals, %d of engines,"
              + " %d waited, %d refused by the limit",
          calls,
          onTime,
          late,
          calls - onTime - late,
          refusals,
          engineRefusals,
          waited,
          refusedAtStart);
    }
  }

  private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  PowerReturnSimulation(
      long seed, int instances, int prefillEngines, int decodeEngines, boolean limited) {
    this.random = new Random(seed);
    this.limited = limited;
    this.fleet = SimulatedFleet.of(instances, DOMAINS);
    this.beginMillis = fleet.nowMillis();
    for (int i = 0; i < prefillEngines + decodeEngines; i++) {
      EndpointStage stage = i < prefillEngines ? EndpointStage.PREFILL : EndpointStage.DECODE;
      entries.add(
          new EndpointEntry(
              EndpointId.of("e-" + i),
              1,
              SERVICE,
              "10.2.0.1",
              80,
              FailureDomainId.of(DOMAINS[i % DOMAINS.length]),
              stage,
              PROFILE.slots(),
              false));
    }
  }

  /**
   * Runs calls while all instances start.
   *
   * @param startMillis the time within which the instances start; 0 if they have run for long
   * @param burst the number of callers that have waited
   * @param burstMillis the time within which they return, from the start of the first instance
   * @param callsPerSecond the calls that arrive besides
   * @param durationMillis how long calls arrive
   */
  Outcome simulate(
      long startMillis, int burst, long burstMillis, double callsPerSecond, long durationMillis) {
    if (startMillis == 0) {
      fleet.running().forEach(this::publish);
      fleet.run(8_000);
      beginMillis = fleet.nowMillis();
    }
    List<Node> stopped = startMillis == 0 ? List.of() : fleet.running();
    stopped.forEach(fleet::kill);
    for (Node node : stopped) {
      schedule(random.nextInt((int) startMillis), () -> start(node));
    }
    for (int i = 0; i < burst; i++) {
      schedule(random.nextInt((int) burstMillis), this::begin);
    }
    double atMillis = 0;
    while (atMillis < durationMillis) {
      atMillis += -Math.log(1 - random.nextDouble()) * 1_000 / callsPerSecond;
      schedule((long) atMillis, this::begin);
    }
    return run(durationMillis + DEADLINE_MILLIS);
  }

  private Outcome run(long durationMillis) {
    while (fleet.nowMillis() < beginMillis + durationMillis) {
      while (!events.isEmpty() && events.peek().atMillis() <= fleet.nowMillis()) {
        events.poll().action().run();
      }
      fleet.run(STEP_MILLIS);
    }
    for (Node node : fleet.running()) {
      outcome.waited += node.metrics.counter("startup.waited").getCount();
      outcome.refusedAtStart += node.metrics.counter("startup.refused").getCount();
    }
    return outcome;
  }

  private void schedule(long delayMillis, Runnable action) {
    events.add(new Event(fleet.nowMillis() + delayMillis, nextNumber++, action));
  }

  private void start(Node node) {
    fleet.restart(node);
    fleet.running().stream()
        .filter(one -> one.self.incarnation().instance().equals(node.self.incarnation().instance()))
        .forEach(this::publish);
  }

  private void publish(Node node) {
    RoutingContent config =
        new RoutingContent(
            1,
            List.of(ROUTE),
            List.of(new ServiceProfile(SERVICE, 100, PROFILE)),
            false,
            List.of(),
            RequestLimits.INITIAL);
    node.directory.onListed(
        PublishedKind.CONFIG, List.of(new PublishedItem.Config(config, POSITION)), POSITION);
    node.directory.onListed(
        PublishedKind.ENDPOINTS,
        entries.stream()
            .map(entry -> (PublishedItem) new PublishedItem.Endpoint(entry, POSITION))
            .toList(),
        POSITION);
  }

  private void begin() {
    outcome.calls++;
    long prompt = Math.min(12_000, (long) (2_900 * Math.exp(0.45 * random.nextGaussian())));
    arrive(prompt, fleet.nowMillis(), 0);
  }

  /** Sends a caller's call to an instance; without one, the caller tries again. */
  private void arrive(long prompt, long firstMillis, int returns) {
    List<Node> running = fleet.running();
    if (running.isEmpty()) {
      schedule(100, () -> arrive(prompt, firstMillis, returns));
      return;
    }
    new Call(running.get(random.nextInt(running.size())), prompt, firstMillis, returns).arrive();
  }

  /** One call at one instance. */
  private final class Call implements StartupAdmission.Listener {
    private final String id = "call-" + nextNumber++;
    private final Node node;
    private final long promptTokens;
    private final long firstMillis;
    private final int returns;
    private final long arrivedMillis = fleet.nowMillis();
    private final AttemptLedger ledger;
    private final StartupAdmission.Turn turn;
    private final CapacityWaitPolicy policy;
    private Optional<FleetMember> coordinator = Optional.empty();
    private boolean prefilled;

    Call(Node node, long promptTokens, long firstMillis, int returns) {
      this.node = node;
      this.promptTokens = promptTokens;
      this.firstMillis = firstMillis;
      this.returns = returns;
      this.ledger = AttemptLedger.of(ROUTE, node.budgets.budget(SERVICE));
      this.turn = node.startup.turn(SERVICE, id);
      this.policy = CapacityWaitPolicy.of(arrivedMillis - firstMillis > TARGET_MILLIS);
    }

    private long memoryTokens() {
      return promptTokens + (long) (OUTPUT_TOKENS * 0.15);
    }

    private long remainingMillis() {
      return DEADLINE_MILLIS - (fleet.nowMillis() - firstMillis);
    }

    void arrive() {
      node.budgets.budget(SERVICE).recordCall(fleet.nowMillis());
      if (!limited) {
        place();
        return;
      }
      turn.request(
          new StartupAdmission.Terms(
              0,
              memoryTokens(),
              arrivedMillis,
              policy == CapacityWaitPolicy.LATE ? 0 : TARGET_MILLIS,
              policy.waitMillis(TARGET_MILLIS)),
          this);
    }

    @Override
    public void onAdmitted() {
      place();
    }

    @Override
    public void onRefused(long retryAfterMillis) {
      refuse(
          CapacityWaitPolicy.spreadRetryMillis(
              retryAfterMillis, remainingMillis(), random.nextDouble()));
    }

    private void place() {
      List<RegionId> regions = node.rooms.queryRegions();
      Optional<StreamPlacement> placement =
          regions.isEmpty() ? placeLocally() : askCoordinators(regions);
      if (placement.isPresent()) {
        start(placement.get());
      } else if (fleet.nowMillis() - arrivedMillis < policy.waitMillis(TARGET_MILLIS)) {
        schedule(regions.isEmpty() ? LOCAL_RETRY_MILLIS : COORDINATOR_RETRY_MILLIS, this::place);
      } else {
        refuse(CapacityWaitPolicy.retryAfterMillis(remainingMillis(), random.nextDouble()));
      }
    }

    private Optional<StreamPlacement> askCoordinators(List<RegionId> regions) {
      for (RegionId region : regions) {
        Optional<FleetMember> member = node.rooms.coordinator(region, SERVICE);
        if (member.isEmpty()) {
          return placeLocally();
        }
        StreamPlacementReply reply;
        try {
          reply = node.rooms.ask(member.get(), query()).await().indefinitely();
        } catch (IllegalStateException unanswered) {
          return placeLocally();
        }
        if (reply.hasCapacity()) {
          coordinator
              .filter(previous -> !previous.equals(member.get()))
              .ifPresent(previous -> node.rooms.notifyEnded(previous, id));
          coordinator = member;
          return Optional.of(
              new StreamPlacement(
                  entry(reply.prefillEngine()),
                  entry(reply.decodeEngine()).orElseThrow(),
                  reply.firstEventMillis()));
        }
      }
      return Optional.empty();
    }

    private StreamPlacementQuery query() {
      return new StreamPlacementQuery(
          SERVICE.value(),
          id,
          Math.max(1, remainingMillis()),
          prefilled ? 0 : promptTokens,
          memoryTokens(),
          !prefilled,
          List.of(),
          policy.usableMemoryFraction(),
          300,
          ledger.triedEndpoints().stream().map(EndpointId::value).toList(),
          entries.stream()
              .filter(one -> !node.health.get(one.id()).acceptsCall(fleet.nowMillis()))
              .map(one -> one.id().value())
              .toList());
    }

    private Optional<StreamPlacement> placeLocally() {
      return node.chooser.placeStreamByWeight(
          fleet.nowMillis(),
          entries,
          ledger.triedEndpoints(),
          PROFILE,
          new StreamRequirements(
              prefilled ? 0 : promptTokens,
              memoryTokens(),
              !prefilled,
              Set.of(),
              policy.usableMemoryFraction(),
              false,
              300));
    }

    private void start(StreamPlacement placement) {
      EndpointId decode = placement.decode().id();
      EndpointWorkload work = new EndpointWorkload(1, 0, memoryTokens());
      node.work.addLocal(decode, work);
      if (prefilled) {
        schedule(STEP_MILLIS, () -> decode(decode, work));
        return;
      }
      EndpointEntry prefill = placement.prefill().orElse(placement.decode());
      EndpointWorkload reading = new EndpointWorkload(1, promptTokens, promptTokens);
      node.work.addLocal(prefill.id(), reading);
      double factor = prefill.stage() == EndpointStage.PREFILL ? 1 : 2;
      double readMillis =
          Math.max(fleet.nowMillis(), busyUntilMillis.getOrDefault(prefill.id(), 0.0))
              + promptTokens * PREFILL_MILLIS_PER_TOKEN * factor;
      busyUntilMillis.put(prefill.id(), readMillis);
      ledger.tryReservePrefill(fleet.nowMillis());
      ledger.recordPrefillSent();
      schedule(
          (long) Math.ceil(readMillis) - fleet.nowMillis(),
          () -> {
            node.work.removeLocal(prefill.id(), reading);
            ledger.recordPrefillAccepted();
            prefilled = true;
            decode(decode, work);
          });
    }

    private void decode(EndpointId engine, EndpointWorkload expected) {
      node.work.removeLocal(engine, expected);
      if (!ledger.tryReserveRun(fleet.nowMillis())) {
        refuse(REFUSED_RETRY_MILLIS + random.nextInt((int) REFUSED_RETRY_MILLIS / 2));
        return;
      }
      ledger.recordSend(engine);
      long tokens = promptTokens + OUTPUT_TOKENS / 2;
      if (usedTokens.getOrDefault(engine, 0L) + tokens > MEMORY_TOKENS) {
        onEngineRefused(engine);
        return;
      }
      usedTokens.merge(engine, tokens, Long::sum);
      EndpointWorkload work = new EndpointWorkload(1, 0, tokens);
      node.work.addLocal(engine, work);
      if (fleet.nowMillis() - firstMillis <= TARGET_MILLIS) {
        outcome.onTime++;
      } else {
        outcome.late++;
      }
      schedule(
          1_000 + random.nextInt(2_000),
          () -> {
            usedTokens.merge(engine, -tokens, Long::sum);
            node.work.removeLocal(engine, work);
            end();
          });
    }

    private void onEngineRefused(EndpointId engine) {
      outcome.engineRefusals++;
      EngineFault.REFUSED.updateHealth(fleet.nowMillis(), node.health.get(engine));
      coordinator.ifPresent(member -> node.rooms.notifyFault(member, engine, EngineFault.REFUSED));
      if (ledger.onRefused(fleet.nowMillis()) == RetryDecision.AGAIN) {
        place();
      } else {
        refuse(REFUSED_RETRY_MILLIS + random.nextInt((int) REFUSED_RETRY_MILLIS / 2));
      }
    }

    private void refuse(long retryMillis) {
      outcome.refusals++;
      end();
      if (returns < MAX_RETURNS && remainingMillis() > retryMillis) {
        schedule(
            retryMillis,
            () -> PowerReturnSimulation.this.arrive(promptTokens, firstMillis, returns + 1));
      }
    }

    private void end() {
      ledger.refundUnused();
      coordinator.ifPresent(member -> node.rooms.notifyEnded(member, id));
      turn.end();
    }

    private Optional<EndpointEntry> entry(String endpoint) {
      return entries.stream().filter(one -> one.id().value().equals(endpoint)).findFirst();
    }
  }
}
