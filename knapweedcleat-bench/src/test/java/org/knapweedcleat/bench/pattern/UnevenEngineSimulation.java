package org.knapweedcleat.bench.pattern;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.EngineSpeedListener;
import org.knapweedcleat.core.balance.EngineSpeeds;
import org.knapweedcleat.core.balance.SpeedMeasure;
import org.knapweedcleat.core.balance.StepTimer;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;

/**
 * Simulates streams in virtual time at engines of which some are slow, and links and instances that
 * delay some messages by some hundred milliseconds.
 */
final class UnevenEngineSimulation {

  static final int PREFILL_ENGINES = 6;
  static final int DECODE_ENGINES = 12;
  private static final int LARGE_FLEET = 24;
  private static final int SMALL_FLEET = 4;
  private static final long MEMORY_TOKENS = 42_754;
  private static final long TARGET_MILLIS = 900;
  private static final long MAX_GAP_MILLIS = 300;
  private static final long DEADLINE_MILLIS = 14_000;
  private static final long RETRY_MILLIS = 150;
  private static final long MAX_WAIT_MILLIS = 400;
  private static final double EVENT_INTERVAL_MILLIS = 80;
  private static final double TRANSFER_MILLIS = 40;
  private static final long REPORT_INTERVAL_MILLIS = 500;
  private static final int MAX_REPORTS = 32;

  /** One message in fifty is delayed by 100 to 400 ms. */
  private static final double DELAYED_SHARE = 0.02;

  private static final EngineProfile PROFILE = new EngineProfile(64, MEMORY_TOKENS, 500, 13);

  private final Random load;
  private final Random noise;
  private final boolean usesSpeeds;
  private final Map<EndpointId, SimulatedEngine> engines = new HashMap<>();
  private final List<EndpointEntry> entries = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Optional<StreamCapacityAllocator> allocator;
  private final EngineSpeeds allocatorSpeeds = EngineSpeeds.create(EngineSpeedListener.NONE);
  private final List<String> placements = new ArrayList<>();
  private final Map<EndpointId, Integer> streamsByEngine = new HashMap<>();
  private double nowMillis;
  private long nextNumber;
  private int calls;
  private int missed;

  /** An instance that serves streams, with its own observations. */
  private record Instance(
      IncarnationId id, WorkloadTracker workload, EngineSpeeds speeds, EndpointSelector selector) {}

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** A stream; it is missed if it is refused, begins late or pauses too long. */
  private static final class Call {
    private final String id;
    private final Instance instance;
    private final double sentMillis;
    private final long promptTokens;
    private final int outputEvents;
    private final StepTimer timer = StepTimer.create();
    private boolean isMissed;

    Call(String id, Instance instance, double sentMillis, long promptTokens, int outputEvents) {
      this.id = id;
      this.instance = instance;
      this.sentMillis = sentMillis;
      this.promptTokens = promptTokens;
      this.outputEvents = outputEvents;
    }

    long memoryTokens() {
      return promptTokens + outputEvents * (long) PROFILE.tokensPerEvent() / 2;
    }
  }

  /** Creates a fleet with an allocator, or a small one in which each instance places alone. */
  UnevenEngineSimulation(long seed, boolean hasAllocator, boolean usesSpeeds) {
    this.load = new Random(seed);
    this.noise = new Random(seed + 1);
    this.usesSpeeds = usesSpeeds;
    for (int i = 0; i < PREFILL_ENGINES + DECODE_ENGINES; i++) {
      EndpointStage stage = i < PREFILL_ENGINES ? EndpointStage.PREFILL : EndpointStage.DECODE;
      SimulatedEngine engine = new SimulatedEngine("e" + i, stage, MEMORY_TOKENS);
      engines.put(engine.entry().id(), engine);
      entries.add(engine.entry());
    }
    Random selection = new Random(seed + 2);
    for (int i = 0; i < (hasAllocator ? LARGE_FLEET : SMALL_FLEET); i++) {
      WorkloadTracker workload = WorkloadTracker.of(2_500);
      EngineSpeeds speeds = EngineSpeeds.create(EngineSpeedListener.NONE);
      instances.add(
          new Instance(
              IncarnationId.of(InstanceId.of("front-" + i), 1),
              workload,
              speeds,
              selector(workload, EndpointHealthRegistry.create(), speeds, selection)));
    }
    WorkloadTracker reserved = WorkloadTracker.of(2_500);
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    this.allocator =
        hasAllocator
            ? Optional.of(
                StreamCapacityAllocator.of(
                    IncarnationId.of(InstanceId.of("allocator"), 1),
                    selector(reserved, health, allocatorSpeeds, selection),
                    reserved,
                    health))
            : Optional.empty();
  }

  private EndpointSelector selector(
      WorkloadTracker workload,
      EndpointHealthRegistry health,
      EngineSpeeds speeds,
      Random selection) {
    FailureDomainId domain = FailureDomainId.of("a");
    DomainTopology domains = DomainTopology.of(domain, Map.of(domain, RegionId.of("r")));
    EndpointSelector selector =
        EndpointSelector.of(domains, workload, health, selection::nextDouble);
    return usesSpeeds ? selector.withSpeeds(speeds) : selector;
  }

  /** Slows an engine down from a time on; a factor of 1 lets it recover. */
  UnevenEngineSimulation slowDown(int engine, double factor, double atMillis) {
    schedule(atMillis, () -> engines.get(EndpointId.of("e" + engine)).slowDown(factor));
    return this;
  }

  /** Runs calls that arrive at the given mean rate. */
  UnevenEngineSimulation run(long durationMillis, double callsPerSecond) {
    double arrivalMillis = 0;
    while (arrivalMillis < durationMillis) {
      arrivalMillis += -Math.log(1 - load.nextDouble()) * 1_000 / callsPerSecond;
      Call call = newCall(arrivalMillis);
      schedule(arrivalMillis, () -> place(call));
    }
    for (long atMillis = 0; atMillis < durationMillis; atMillis += REPORT_INTERVAL_MILLIS) {
      schedule(atMillis, this::exchange);
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return this;
  }

  double missedShare() {
    return (double) missed / calls;
  }

  /** Returns the placements of all calls in their order. */
  List<String> placements() {
    return placements;
  }

  int streamsAt(int engine) {
    return streamsByEngine.getOrDefault(EndpointId.of("e" + engine), 0);
  }

  private void schedule(double atMillis, Runnable action) {
    events.add(new Event(atMillis, nextNumber++, action));
  }

  private Call newCall(double sentMillis) {
    calls++;
    long promptTokens = 1_000 + (long) (load.nextDouble() * 4_400);
    int outputEvents = (int) Math.min(60, 8 + 20 * Math.exp(0.6 * load.nextGaussian()));
    Instance instance = instances.get(load.nextInt(instances.size()));
    return new Call("r" + calls, instance, sentMillis, promptTokens, outputEvents);
  }

  /** Sends observations to the allocator, or workloads to the other instances of a small fleet. */
  private void exchange() {
    for (Instance from : instances) {
      if (allocator.isPresent()) {
        from.speeds()
            .takeReports((long) nowMillis, MAX_REPORTS)
            .forEach(one -> allocatorSpeeds.recordReport((long) nowMillis, from.id(), one));
      } else {
        instances.stream()
            .filter(to -> to != from)
            .forEach(
                to ->
                    to.workload()
                        .update(from.id().toString(), (long) nowMillis, from.workload().local()));
      }
    }
  }

  private void place(Call call) {
    StreamRequirements requirements =
        new StreamRequirements(
            call.promptTokens, call.memoryTokens(), true, Set.of(), 0.93, false, MAX_GAP_MILLIS);
    Optional<StreamPlacement> placement =
        allocator
            .map(central -> placeAt(central, call, requirements))
            .orElseGet(
                () ->
                    call.instance
                        .selector()
                        .placeStreamByWeight(
                            (long) nowMillis, entries, Set.of(), PROFILE, requirements));
    placements.add(
        call.id
            + placement.map(
                one -> one.prefill().map(EndpointEntry::id) + " " + one.decode().id().value()));
    if (placement.isPresent()) {
      prefill(call, placement.get());
    } else if (nowMillis - call.sentMillis < MAX_WAIT_MILLIS) {
      schedule(nowMillis + RETRY_MILLIS, () -> place(call));
    } else {
      missed++;
    }
  }

  private Optional<StreamPlacement> placeAt(
      StreamCapacityAllocator central, Call call, StreamRequirements requirements) {
    return central.place(
        (long) nowMillis,
        call.instance.id(),
        call.id,
        DEADLINE_MILLIS,
        entries,
        Set.of(),
        PROFILE,
        requirements);
  }

  private void prefill(Call call, StreamPlacement placement) {
    EndpointEntry decode = placement.decode();
    EndpointEntry prefill = placement.prefill().orElse(decode);
    streamsByEngine.merge(decode.id(), 1, Integer::sum);
    streamsByEngine.merge(prefill.id(), prefill == decode ? 0 : 1, Integer::sum);
    WorkloadTracker workload = call.instance.workload();
    final boolean wasIdle = workload.total(prefill.id(), (long) nowMillis).promptTokens() == 0;
    final double sentMillis = nowMillis;
    EndpointWorkload prefillWork = new EndpointWorkload(1, call.promptTokens, 0);
    workload.addLocal(prefill.id(), prefillWork);
    workload.addLocal(decode.id(), new EndpointWorkload(1, 0, call.memoryTokens()));
    double doneMillis =
        engines.get(prefill.id()).prefill(nowMillis, call.promptTokens) + delayMillis();
    schedule(
        doneMillis,
        () -> {
          workload.removeLocal(prefill.id(), prefillWork);
          if (wasIdle && prefill != decode) {
            call.instance
                .speeds()
                .record(
                    (long) nowMillis,
                    prefill,
                    SpeedMeasure.PREFILL,
                    (nowMillis - sentMillis) / call.promptTokens);
          }
        });
    schedule(doneMillis + (prefill == decode ? 0 : TRANSFER_MILLIS), () -> decode(call, decode));
  }

  private void decode(Call call, EndpointEntry entry) {
    SimulatedEngine engine = engines.get(entry.id());
    if (!engine.tryReserve(call.memoryTokens())) {
      missed++;
      end(call, entry);
      return;
    }
    call.isMissed = nowMillis - call.sentMillis > TARGET_MILLIS;
    step(call, engine, 0);
  }

  private void step(Call call, SimulatedEngine engine, int number) {
    if (number == call.outputEvents) {
      missed += call.isMissed ? 1 : 0;
      engine.release(call.memoryTokens());
      end(call, engine.entry());
      return;
    }
    call.timer
        .onEvent((long) (nowMillis + delayMillis()))
        .ifPresent(
            millis ->
                call.instance
                    .speeds()
                    .record((long) nowMillis, engine.entry(), SpeedMeasure.STEP, millis));
    double stepMillis =
        EVENT_INTERVAL_MILLIS * engine.slowFactor() * (0.9 + 0.2 * noise.nextDouble());
    call.isMissed |= stepMillis > MAX_GAP_MILLIS;
    schedule(nowMillis + stepMillis, () -> step(call, engine, number + 1));
  }

  private void end(Call call, EndpointEntry decode) {
    call.instance
        .workload()
        .removeLocal(decode.id(), new EndpointWorkload(1, 0, call.memoryTokens()));
    allocator.ifPresent(central -> central.release(call.instance.id(), call.id));
  }

  private double delayMillis() {
    return noise.nextDouble() < DELAYED_SHARE ? 100 + 300 * noise.nextDouble() : 0;
  }
}
