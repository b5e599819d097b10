package org.knapweedcleat.bench.pattern;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.room.AdmissionAction;
import org.knapweedcleat.core.room.AdmissionQueue;
import org.knapweedcleat.core.room.CallKey;
import org.knapweedcleat.core.room.CapacityPlacer;
import org.knapweedcleat.core.room.CapacityWaitPolicy;
import org.knapweedcleat.core.room.QueuedCall;

/**
 * Simulates streams of several ranks that one allocator places, either as they poll or from an
 * admission queue. Refused callers return up to twice.
 */
final class RankedStreamSimulation implements CapacityPlacer {

  static final long MEMORY_TOKENS = 28_798;
  private static final int SLOTS = 48;
  private static final long DEADLINE_MILLIS = 12_000;
  private static final long OUTPUT_TOKENS = 897;
  private static final long POLL_MILLIS = 150;
  private static final int MAX_RETURNS = 2;
  private static final long TICK_MILLIS = 50;
  private static final long CONFIRM_MILLIS = 1_000;
  private static final long ROUND_TRIP_MILLIS = 10;
  private static final long REPORT_MILLIS = 500;
  private static final IncarnationId ALLOCATOR = IncarnationId.of(InstanceId.of("allocator"), 1);
  private static final IncarnationId HOLDER = IncarnationId.of(InstanceId.of("holder"), 1);

  private final Random random;
  private final Map<EndpointId, SimulatedEngine> engines = new HashMap<>();
  private final List<EndpointEntry> entries;
  private final EngineProfile profile = new EngineProfile(SLOTS, MEMORY_TOKENS, 500, 13);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final WorkloadTracker workload = WorkloadTracker.of(2_500);
  private final Map<EndpointId, EndpointWorkload> running = new HashMap<>();
  private final Set<String> prefilled = new HashSet<>();
  private final StreamCapacityAllocator allocator;
  private final Optional<AdmissionQueue> queue;
  private final long[] targetMillis;
  private final Map<String, Call> waiting = new HashMap<>();
  private final List<RankOutcome> outcomes = new ArrayList<>();
  private long nowMillis;
  private long nextNumber;

  /** The calls of one rank by outcome. */
  static final class RankOutcome {
    int calls;
    int onTime;
    int served;
    int large;
    int largeServed;
    int refusals;
    int engineRefusals;

    double onTimeShare() {
      return (double) onTime / calls;
    }

    double servedShare() {
      return (double) served / calls;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d calls, %d on time, %d late, %d not served, "
              + "%d refusals, %d of engines, large %d of %d",
          calls,
          onTime,
          served - onTime,
          calls - served,
          refusals,
          engineRefusals,
          largeServed,
          large);
    }
  }

  private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private record Call(
      String id, int rank, long promptTokens, long firstMillis, long arrivedMillis, int returns) {

    long memoryTokens() {
      return promptTokens + (long) (OUTPUT_TOKENS * 0.15);
    }

    boolean isLarge() {
      return promptTokens > 5_000;
    }
  }

  RankedStreamSimulation(
      long seed, List<SimulatedEngine> engines, boolean queued, long... targetMillis) {
    this.random = new Random(seed);
    this.targetMillis = targetMillis;
    engines.forEach(engine -> this.engines.put(engine.entry().id(), engine));
    this.entries = engines.stream().map(SimulatedEngine::entry).toList();
    FailureDomainId domain = FailureDomainId.of("a");
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    EndpointSelector selector =
        EndpointSelector.of(
            DomainTopology.of(domain, Map.of(domain, RegionId.of("r"))),
            workload,
            health,
            random::nextDouble);
    this.allocator = StreamCapacityAllocator.of(ALLOCATOR, selector, workload, health);
    this.queue = queued ? Optional.of(AdmissionQueue.create()) : Optional.empty();
    int decodeEngines =
        (int) entries.stream().filter(entry -> entry.stage().runsRequests()).count();
    queue.ifPresent(one -> one.updateCapacity(decodeEngines, MEMORY_TOKENS));
    for (int rank = 0; rank < targetMillis.length; rank++) {
      outcomes.add(new RankOutcome());
    }
  }

  /** Runs calls that arrive at constant rates by rank. */
  List<RankOutcome> simulate(long durationMillis, double... callsPerSecond) {
    for (int rank = 0; rank < callsPerSecond.length; rank++) {
      double atMillis = 0;
      while (atMillis < durationMillis) {
        atMillis += -Math.log(1 - random.nextDouble()) * 1_000 / callsPerSecond[rank];
        long prompt = Math.min(12_000, (long) (2_900 * Math.exp(0.45 * random.nextGaussian())));
        long firstMillis = (long) atMillis;
        Call call = new Call("c" + nextNumber++, rank, prompt, firstMillis, firstMillis, 0);
        schedule(firstMillis, () -> begin(call));
      }
    }
    for (long at = 0; queue.isPresent() && at < durationMillis + DEADLINE_MILLIS; ) {
      schedule(at, this::dispatch);
      at += TICK_MILLIS;
    }
    for (long at = 0; at < durationMillis + DEADLINE_MILLIS; at += REPORT_MILLIS) {
      schedule(at, () -> workload.update("holder", nowMillis, Map.copyOf(running)));
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return outcomes;
  }

  private void schedule(long atMillis, Runnable action) {
    events.add(new Event(atMillis, nextNumber++, action));
  }

  private void begin(Call call) {
    RankOutcome outcome = outcomes.get(call.rank());
    outcome.calls++;
    outcome.large += call.isLarge() ? 1 : 0;
    arrive(call);
  }

  private void arrive(Call call) {
    if (queue.isEmpty()) {
      poll(call);
      return;
    }
    offer(call, false);
  }

  private void offer(Call call, boolean started) {
    long target = call.firstMillis() + targetMillis[call.rank()];
    long maxWaitMillis = policy(call).queueMillis(targetMillis[call.rank()]);
    waiting.put(call.id(), call);
    CallKey key = new CallKey(HOLDER, call.id());
    queue
        .get()
        .offer(
            nowMillis,
            new QueuedCall(
                key,
                started,
                call.rank(),
                "",
                call.memoryTokens(),
                call.arrivedMillis(),
                nowMillis,
                target,
                call.arrivedMillis() + maxWaitMillis));
    schedule(nowMillis + CONFIRM_MILLIS, () -> confirm(call, started));
    dispatch();
    queue.get().refuseIfHopeless(nowMillis, key).ifPresent(this::perform);
  }

  private CapacityWaitPolicy policy(Call call) {
    return CapacityWaitPolicy.of(
        call.arrivedMillis() - call.firstMillis() > targetMillis[call.rank()]);
  }

  private void dispatch() {
    Optional<AdmissionAction> action = queue.get().next(nowMillis, this);
    while (action.isPresent()) {
      perform(action.get());
      action = queue.get().next(nowMillis, this);
    }
  }

  /** Repeats the query of a waiting call, as its holder does every second. */
  private void confirm(Call call, boolean started) {
    if (call.equals(waiting.get(call.id()))) {
      offer(call, started);
    }
  }

  private void perform(AdmissionAction action) {
    Call call = waiting.remove(action.call().key().requestId());
    if (action instanceof AdmissionAction.Granted granted) {
      start(call, granted.placement());
    } else {
      long retryMillis = ((AdmissionAction.Refused) action).retryAfterMillis();
      refuse(
          call,
          CapacityWaitPolicy.spreadRetryMillis(
              retryMillis, remainingMillis(call), random.nextDouble()));
    }
  }

  private void poll(Call call) {
    CapacityWaitPolicy policy = policy(call);
    Optional<StreamPlacement> placement = place(call, policy.usableMemoryFraction(), Set.of());
    if (placement.isPresent()) {
      start(call, placement.get());
    } else if (nowMillis - call.arrivedMillis() < policy.waitMillis(targetMillis[call.rank()])) {
      schedule(nowMillis + POLL_MILLIS, () -> poll(call));
    } else {
      refuse(call, CapacityWaitPolicy.retryAfterMillis(remainingMillis(call), random.nextDouble()));
    }
  }

  private long remainingMillis(Call call) {
    return DEADLINE_MILLIS - (nowMillis - call.firstMillis());
  }

  @Override
  public Optional<StreamPlacement> place(
      QueuedCall call, double usableMemoryFraction, Set<EndpointId> avoided) {
    return place(waiting.get(call.key().requestId()), usableMemoryFraction, avoided);
  }

  private Optional<StreamPlacement> place(
      Call call, double usableMemoryFraction, Set<EndpointId> avoided) {
    return allocator.place(
        nowMillis,
        HOLDER,
        call.id(),
        DEADLINE_MILLIS,
        withoutAvoided(avoided),
        Set.of(),
        profile,
        new StreamRequirements(
            prefilled.contains(call.id()) ? 0 : call.promptTokens(),
            call.memoryTokens(),
            !prefilled.contains(call.id()),
            Set.of(),
            usableMemoryFraction,
            false,
            300));
  }

  @Override
  public Optional<EndpointId> leastFilled(QueuedCall call, Set<EndpointId> avoided) {
    return allocator.leastFilled(nowMillis, withoutAvoided(avoided));
  }

  private List<EndpointEntry> withoutAvoided(Set<EndpointId> avoided) {
    return entries.stream()
        .filter(entry -> !avoided.contains(entry.id()))
        .collect(Collectors.toList());
  }

  private void start(Call call, StreamPlacement placement) {
    if (prefilled.contains(call.id())) {
      schedule(nowMillis + ROUND_TRIP_MILLIS, () -> decode(call, placement.decode().id()));
      return;
    }
    EndpointId prefillEngine = placement.prefill().orElse(placement.decode()).id();
    long prefilledMillis =
        (long) Math.ceil(engines.get(prefillEngine).prefill(nowMillis, call.promptTokens()));
    schedule(prefilledMillis, () -> decode(call, placement.decode().id()));
  }

  private void decode(Call call, EndpointId engine) {
    long tokens = call.promptTokens() + OUTPUT_TOKENS / 2;
    if (!engines.get(engine).tryReserve(tokens)) {
      allocator.release(HOLDER, call.id());
      allocator.recordFault(nowMillis, engine, EngineFault.REFUSED);
      prefilled.add(call.id());
      outcomes.get(call.rank()).engineRefusals++;
      if (queue.isPresent()) {
        offer(call, true);
      } else {
        poll(call);
      }
      return;
    }
    EndpointWorkload work = new EndpointWorkload(1, 0, tokens);
    running.merge(engine, work, EndpointWorkload::plus);
    RankOutcome outcome = outcomes.get(call.rank());
    outcome.served++;
    outcome.largeServed += call.isLarge() ? 1 : 0;
    outcome.onTime += nowMillis - call.firstMillis() <= targetMillis[call.rank()] ? 1 : 0;
    schedule(
        nowMillis + 1_000 + random.nextInt(2_000),
        () -> {
          engines.get(engine).release(tokens);
          running.computeIfPresent(engine, (id, current) -> current.minus(work));
          allocator.release(HOLDER, call.id());
          if (queue.isPresent()) {
            dispatch();
          }
        });
  }

  private void refuse(Call call, long retryMillis) {
    allocator.release(HOLDER, call.id());
    outcomes.get(call.rank()).refusals++;
    if (call.returns() >= MAX_RETURNS || remainingMillis(call) <= retryMillis) {
      return;
    }
    long atMillis = nowMillis + retryMillis;
    schedule(
        atMillis,
        () ->
            arrive(
                new Call(
                    call.id(),
                    call.rank(),
                    call.promptTokens(),
                    call.firstMillis(),
                    atMillis,
                    call.returns() + 1)));
  }
}
