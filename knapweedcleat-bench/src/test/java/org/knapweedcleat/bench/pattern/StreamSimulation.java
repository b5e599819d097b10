package org.knapweedcleat.bench.pattern;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.DoubleUnaryOperator;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.room.CapacityWaitPolicy;
import org.knapweedcleat.core.room.LateCallDetector;

/**
 * Simulates streaming calls in virtual time. Several instances place them on engines by their own
 * workload and the last workload reports of the other instances.
 */
final class StreamSimulation {

  static final long MEMORY_TOKENS = 42_754;
  private static final int DEFAULT_INSTANCE_COUNT = 8;
  private static final long MAX_REPORT_AGE_MILLIS = 2_500;
  private static final long FIRST_TOKEN_TARGET_MILLIS = 900;
  private static final long DEADLINE_MILLIS = 14_000;
  private static final long DEFAULT_GOSSIP_INTERVAL_MILLIS = 200;
  private static final double MILLIS_PER_OUTPUT_TOKEN = 3.4;
  private static final double CAPACITY_RETRY_MILLIS = 25;
  private static final int MAX_OUTPUT_TOKENS = 2_080;
  private static final IncarnationId ALLOCATOR_ID = IncarnationId.of(InstanceId.of("keeper"), 1);
  private static final IncarnationId REQUESTER_ID = IncarnationId.of(InstanceId.of("holder"), 1);

  private final Random random;
  private final Map<EndpointId, SimulatedEngine> engines = new HashMap<>();
  private final List<EndpointEntry> entries = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final ForwardRoute route =
      new ForwardRoute(
          "r",
          "h",
          "/",
          CallKind.STREAM,
          true,
          true,
          DEADLINE_MILLIS,
          FIRST_TOKEN_TARGET_MILLIS,
          300,
          2,
          1,
          List.of(new ServiceShare(ServiceId.of("notes"), 1)),
          Set.of());
  private final BiFunction<Boolean, ForwardRoute, CapacityWaitPolicy> policy;
  private final long gossipIntervalMillis;
  private final EngineProfile profile;
  private final DomainTopology domains;
  private boolean randomPlacement;
  private Optional<StreamCapacityAllocator> allocator = Optional.empty();
  private double nowMillis;
  private long nextSequenceNumber;
  private int calls;
  private int callsOnTime;
  private int callsServed;
  private int decodeRequests;
  private int refusedDecodeRequests;

  private record Instance(
      WorkloadTracker workload, EndpointSelector selector, LateCallDetector lateCallDetector) {}

  private record Event(double atMillis, long sequenceNumber, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  private record Call(
      double firstSentMillis, double arrivedMillis, long promptTokens, long outputTokens) {
    String id() {
      return firstSentMillis + "-" + arrivedMillis;
    }
  }

  StreamSimulation(
      long seed,
      List<SimulatedEngine> engines,
      BiFunction<Boolean, ForwardRoute, CapacityWaitPolicy> policy) {
    this(seed, engines, policy, DEFAULT_INSTANCE_COUNT, DEFAULT_GOSSIP_INTERVAL_MILLIS);
  }

  /** Creates a simulation whose instances exchange workload reports at the given interval. */
  StreamSimulation(
      long seed,
      List<SimulatedEngine> engines,
      BiFunction<Boolean, ForwardRoute, CapacityWaitPolicy> policy,
      int instanceCount,
      long gossipIntervalMillis) {
    this.gossipIntervalMillis = gossipIntervalMillis;
    this.profile = new EngineProfile(64, engines.get(0).memoryTokens(), 500, 13);
    this.random = new Random(seed);
    this.policy = policy;
    for (SimulatedEngine engine : engines) {
      this.engines.put(engine.entry().id(), engine);
      entries.add(engine.entry());
    }
    FailureDomainId domain = FailureDomainId.of("a");
    this.domains = DomainTopology.of(domain, Map.of(domain, RegionId.of("r")));
    for (int i = 0; i < instanceCount; i++) {
      WorkloadTracker workload = WorkloadTracker.of(MAX_REPORT_AGE_MILLIS);
      EndpointSelector selector =
          EndpointSelector.of(
              domains, workload, EndpointHealthRegistry.create(), random::nextDouble);
      instances.add(new Instance(workload, selector, LateCallDetector.create()));
    }
  }

  /** Runs calls that arrive at a rate given as a function of time. */
  StreamSimulation simulate(long durationMillis, DoubleUnaryOperator callsPerSecond) {
    double arrivalMillis = 0;
    while (arrivalMillis < durationMillis) {
      double rate = callsPerSecond.applyAsDouble(arrivalMillis);
      arrivalMillis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
      double atMillis = arrivalMillis;
      schedule(atMillis, () -> onArrival(newCall(atMillis)));
    }
    for (long gossipMillis = 0;
        gossipMillis < durationMillis + DEADLINE_MILLIS;
        gossipMillis += gossipIntervalMillis) {
      schedule(gossipMillis, this::exchangeWorkloads);
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return this;
  }

  /** Schedules the failure of an engine, which stays listed but refuses all calls. */
  StreamSimulation failEngine(String id, double atMillis) {
    schedule(atMillis, () -> engines.get(EndpointId.of(id)).fail());
    return this;
  }

  /** Places each call on random engines regardless of workload: the baseline without reports. */
  StreamSimulation placeRandomly() {
    randomPlacement = true;
    return this;
  }

  /** Places all calls at one allocator, which knows only the calls placed through it. */
  StreamSimulation useCentralAllocator() {
    WorkloadTracker workload = WorkloadTracker.of(MAX_REPORT_AGE_MILLIS);
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    EndpointSelector selector = EndpointSelector.of(domains, workload, health, random::nextDouble);
    allocator = Optional.of(StreamCapacityAllocator.of(ALLOCATOR_ID, selector, workload, health));
    return this;
  }

  double onTimeShare() {
    return (double) callsOnTime / calls;
  }

  /** Returns the share of decode requests that engines refused for lack of memory. */
  double refusedShare() {
    return (double) refusedDecodeRequests / decodeRequests;
  }

  double servedShare() {
    return (double) callsServed / calls;
  }

  private void schedule(double atMillis, Runnable action) {
    events.add(new Event(atMillis, nextSequenceNumber++, action));
  }

  private Call newCall(double sentAtMillis) {
    calls++;
    long promptTokens = 1_000 + (long) (random.nextDouble() * 4_400);
    long outputTokens =
        Math.min(MAX_OUTPUT_TOKENS, (long) (900 * Math.exp(0.6 * random.nextGaussian()) * 0.85));
    return new Call(sentAtMillis, sentAtMillis, promptTokens, outputTokens);
  }

  private void exchangeWorkloads() {
    for (int i = 0; i < instances.size(); i++) {
      for (int j = 0; j < instances.size(); j++) {
        if (i != j) {
          instances
              .get(j)
              .workload()
              .update("i" + i, (long) nowMillis, instances.get(i).workload().local());
        }
      }
    }
  }

  private void onArrival(Call call) {
    Instance instance = instances.get(random.nextInt(instances.size()));
    long remainingMillis = DEADLINE_MILLIS - (long) (call.arrivedMillis() - call.firstSentMillis());
    boolean late = instance.lateCallDetector().isLate(route, OptionalLong.of(remainingMillis));
    place(instance, call, policy.apply(late, route));
  }

  private void place(Instance instance, Call call, CapacityWaitPolicy capacityPolicy) {
    long memoryTokens = call.promptTokens() + (long) (MAX_OUTPUT_TOKENS * 0.15);
    StreamRequirements requirements =
        new StreamRequirements(
            call.promptTokens(),
            memoryTokens,
            true,
            Set.of(),
            capacityPolicy.usableMemoryFraction(),
            false,
            0);
    Optional<StreamPlacement> placement =
        randomPlacement
            ? Optional.of(randomPlacement())
            : allocator
                .map(central -> placeAtAllocator(central, call, requirements))
                .orElseGet(
                    () ->
                        instance
                            .selector()
                            .placeStreamByWeight(
                                (long) nowMillis, entries, Set.of(), profile, requirements));
    if (placement.isPresent()) {
      startPrefill(instance, call, placement.get());
    } else if (nowMillis - call.arrivedMillis()
        < capacityPolicy.waitMillis(FIRST_TOKEN_TARGET_MILLIS)) {
      schedule(nowMillis + CAPACITY_RETRY_MILLIS, () -> place(instance, call, capacityPolicy));
    } else {
      onRefused(call);
    }
  }

  private Optional<StreamPlacement> placeAtAllocator(
      StreamCapacityAllocator allocator, Call call, StreamRequirements requirements) {
    return allocator.place(
        (long) nowMillis,
        REQUESTER_ID,
        call.id(),
        DEADLINE_MILLIS,
        entries,
        Set.of(),
        profile,
        requirements);
  }

  private StreamPlacement randomPlacement() {
    return new StreamPlacement(
        Optional.of(randomEngine(EndpointStage.PREFILL)), randomEngine(EndpointStage.DECODE), 0);
  }

  private EndpointEntry randomEngine(EndpointStage stage) {
    List<EndpointEntry> candidates =
        entries.stream().filter(entry -> entry.stage() == stage).toList();
    return candidates.get(random.nextInt(candidates.size()));
  }

  private void startPrefill(Instance instance, Call call, StreamPlacement placement) {
    EndpointId decodeEngine = placement.decode().id();
    EndpointId prefillEngine = placement.prefill().orElse(placement.decode()).id();
    EndpointWorkload prefillWork = new EndpointWorkload(1, call.promptTokens(), 0);
    EndpointWorkload decodeWork =
        new EndpointWorkload(1, 0, call.promptTokens() + call.outputTokens() / 2);
    instance.workload().addLocal(prefillEngine, prefillWork);
    instance.workload().addLocal(decodeEngine, decodeWork);
    double prefilledAtMillis = engines.get(prefillEngine).prefill(nowMillis, call.promptTokens());
    schedule(
        prefilledAtMillis,
        () -> {
          instance.workload().removeLocal(prefillEngine, prefillWork);
          startDecode(instance, call, decodeEngine, decodeWork);
        });
  }

  private void startDecode(
      Instance instance, Call call, EndpointId decodeEngine, EndpointWorkload decodeWork) {
    SimulatedEngine engine = engines.get(decodeEngine);
    long occupiedTokens = call.promptTokens() + call.outputTokens() / 2;
    decodeRequests++;
    if (!engine.tryReserve(occupiedTokens)) {
      refusedDecodeRequests++;
      allocator.ifPresent(central -> central.release(REQUESTER_ID, call.id()));
      instance.workload().removeLocal(decodeEngine, decodeWork);
      onRefused(call);
      return;
    }
    if (nowMillis - call.firstSentMillis() <= FIRST_TOKEN_TARGET_MILLIS) {
      callsOnTime++;
    }
    schedule(
        nowMillis + call.outputTokens() * MILLIS_PER_OUTPUT_TOKEN,
        () -> {
          engine.release(occupiedTokens);
          allocator.ifPresent(central -> central.release(REQUESTER_ID, call.id()));
          instance.workload().removeLocal(decodeEngine, decodeWork);
          callsServed++;
        });
  }

  /** Lets a refused caller retry once. */
  private void onRefused(Call call) {
    if (call.arrivedMillis() > call.firstSentMillis()) {
      return;
    }
    long remainingMillis = DEADLINE_MILLIS - (long) (nowMillis - call.firstSentMillis());
    double returnAtMillis =
        nowMillis + CapacityWaitPolicy.retryAfterMillis(remainingMillis, random.nextDouble());
    schedule(
        returnAtMillis,
        () ->
            onArrival(
                new Call(
                    call.firstSentMillis(),
                    returnAtMillis,
                    call.promptTokens(),
                    call.outputTokens())));
  }
}
