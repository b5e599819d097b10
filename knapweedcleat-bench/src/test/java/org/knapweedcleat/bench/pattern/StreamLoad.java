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
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.balance.StreamPlacement;
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
import org.knapweedcleat.core.room.LateCallDetector;
import org.knapweedcleat.core.room.CapacityWaitPolicy;

/**
 * Streams that come in at several instances, which place them on engines by their own work and by
 * what the others told last; in virtual time.
 */
final class StreamLoad {

  static final long MEMORY_TOKENS = 42_754;
  private static final int INSTANCES = 8;
  private static final long WORK_AGE_MILLIS = 2_500;
  private static final long TARGET_MILLIS = 900;
  private static final long DEADLINE_MILLIS = 14_000;
  private static final long TOLD_MILLIS = 200;
  private static final double TOKEN_MILLIS = 3.4;
  private static final double RETRY_ROOM_MILLIS = 25;
  private static final int LONGEST_ANSWER = 2_080;
  private static final IncarnationId KEEPER = IncarnationId.of(InstanceId.of("keeper"), 1);
  private static final IncarnationId HOLDER = IncarnationId.of(InstanceId.of("holder"), 1);

  private final Random random;
  private final Map<EndpointId, SimulatedEngine> engines = new HashMap<>();
  private final List<EndpointEntry> entries = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final ForwardRoute route =
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
          1,
          List.of(new ServiceShare(ServiceId.of("notes"), 1)));
  private final BiFunction<Boolean, ForwardRoute, CapacityWaitPolicy> policy;
  private final long toldMillis;
  private final EngineProfile profile;
  private final DomainTopology domains;
  private boolean blind;
  private Optional<StreamCapacityAllocator> keeper = Optional.empty();
  private double nowMillis;
  private long order;
  private int asked;
  private int onTime;
  private int served;
  private int runs;
  private int refusedRuns;

  private record Instance(WorkloadTracker work, EndpointSelector chooser, LateCallDetector punctuality) {}

  private record Step(double atMillis, long order, Runnable action) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private record Call(double beganMillis, double arrivedMillis, long prompt, long answer) {
    String name() {
      return beganMillis + "-" + arrivedMillis;
    }
  }

  StreamLoad(
      long seed,
      List<SimulatedEngine> engines,
      BiFunction<Boolean, ForwardRoute, CapacityWaitPolicy> policy) {
    this(seed, engines, policy, INSTANCES, TOLD_MILLIS);
  }

  /** A load on a fleet of any size, whose instances tell each other of their work at times. */
  StreamLoad(
      long seed,
      List<SimulatedEngine> engines,
      BiFunction<Boolean, ForwardRoute, CapacityWaitPolicy> policy,
      int instanceCount,
      long toldMillis) {
    this.toldMillis = toldMillis;
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
      WorkloadTracker work = WorkloadTracker.of(WORK_AGE_MILLIS);
      EndpointSelector chooser =
          EndpointSelector.of(domains, work, EndpointHealthRegistry.create(), random::nextDouble);
      instances.add(new Instance(work, chooser, LateCallDetector.create()));
    }
  }

  /** Plays calls that come at a rate that changes with the time. */
  StreamLoad play(long lengthMillis, DoubleUnaryOperator callsPerSecond) {
    double arrivalMillis = 0;
    while (arrivalMillis < lengthMillis) {
      double rate = callsPerSecond.applyAsDouble(arrivalMillis);
      arrivalMillis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
      double at = arrivalMillis;
      at(at, () -> arrive(newCall(at)));
    }
    for (long told = 0; told < lengthMillis + DEADLINE_MILLIS; told += toldMillis) {
      at(told, this::tell);
    }
    while (!steps.isEmpty()) {
      Step step = steps.poll();
      nowMillis = step.atMillis();
      step.action().run();
    }
    return this;
  }

  /** Loses an engine at a time: its entry stays, and it takes nothing. */
  StreamLoad lose(String id, double atMillis) {
    at(atMillis, () -> engines.get(EndpointId.of(id)).lose());
    return this;
  }

  /** Lets each call take any engine, whatever is known of it: the baseline of all news. */
  StreamLoad blind() {
    blind = true;
    return this;
  }

  /** Lets all instances ask one of them, which is told by nobody but its askers. */
  StreamLoad kept() {
    WorkloadTracker work = WorkloadTracker.of(WORK_AGE_MILLIS);
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    EndpointSelector chooser = EndpointSelector.of(domains, work, health, random::nextDouble);
    keeper = Optional.of(StreamCapacityAllocator.of(KEEPER, chooser, work, health));
    return this;
  }

  double onTimeShare() {
    return (double) onTime / asked;
  }

  /** Returns the share of the calls sent to decode engines that these refused for want of room. */
  double refusedShare() {
    return (double) refusedRuns / runs;
  }

  double servedShare() {
    return (double) served / asked;
  }

  private void at(double millis, Runnable action) {
    steps.add(new Step(millis, order++, action));
  }

  private Call newCall(double atMillis) {
    asked++;
    long prompt = 1_000 + (long) (random.nextDouble() * 4_400);
    long answer =
        Math.min(LONGEST_ANSWER, (long) (900 * Math.exp(0.6 * random.nextGaussian()) * 0.85));
    return new Call(atMillis, atMillis, prompt, answer);
  }

  private void tell() {
    for (int i = 0; i < instances.size(); i++) {
      for (int j = 0; j < instances.size(); j++) {
        if (i != j) {
          instances.get(j).work().update("i" + i, (long) nowMillis, instances.get(i).work().local());
        }
      }
    }
  }

  private void arrive(Call call) {
    Instance instance = instances.get(random.nextInt(instances.size()));
    long left = DEADLINE_MILLIS - (long) (call.arrivedMillis() - call.beganMillis());
    boolean late = instance.punctuality().isLate(route, OptionalLong.of(left));
    place(instance, call, policy.apply(late, route));
  }

  private void place(Instance instance, Call call, CapacityWaitPolicy room) {
    long memory = call.prompt() + (long) (LONGEST_ANSWER * 0.15);
    StreamRequirements need =
        new StreamRequirements(call.prompt(), memory, true, Set.of(), room.usableMemoryFraction(), false, 0);
    Optional<StreamPlacement> placement =
        blind
            ? Optional.of(anywhere())
            : keeper
                .map(one -> ask(one, call, need))
                .orElseGet(
                    () ->
                        instance.chooser().placeStreamByWeight(
                            (long) nowMillis, entries, Set.of(), profile, need));
    if (placement.isPresent()) {
      read(instance, call, placement.get());
    } else if (nowMillis - call.arrivedMillis() < room.waitMillis(TARGET_MILLIS)) {
      at(nowMillis + RETRY_ROOM_MILLIS, () -> place(instance, call, room));
    } else {
      refused(call);
    }
  }

  private Optional<StreamPlacement> ask(StreamCapacityAllocator one, Call call, StreamRequirements need) {
    return one.place(
        (long) nowMillis, HOLDER, call.name(), DEADLINE_MILLIS, entries, Set.of(), profile, need);
  }

  private StreamPlacement anywhere() {
    return new StreamPlacement(
        Optional.of(any(EndpointStage.PREFILL)), any(EndpointStage.DECODE), 0);
  }

  private EndpointEntry any(EndpointStage stage) {
    List<EndpointEntry> of = entries.stream().filter(entry -> entry.stage() == stage).toList();
    return of.get(random.nextInt(of.size()));
  }

  private void read(Instance instance, Call call, StreamPlacement placement) {
    EndpointId decode = placement.decode().id();
    EndpointId reader = placement.prefill().orElse(placement.decode()).id();
    EndpointWorkload reading = new EndpointWorkload(1, call.prompt(), 0);
    EndpointWorkload running = new EndpointWorkload(1, 0, call.prompt() + call.answer() / 2);
    instance.work().addLocal(reader, reading);
    instance.work().addLocal(decode, running);
    double readMillis = engines.get(reader).read(nowMillis, call.prompt());
    at(
        readMillis,
        () -> {
          instance.work().removeLocal(reader, reading);
          run(instance, call, decode, running);
        });
  }

  private void run(Instance instance, Call call, EndpointId decode, EndpointWorkload running) {
    SimulatedEngine engine = engines.get(decode);
    long occupied = call.prompt() + call.answer() / 2;
    runs++;
    if (!engine.take(occupied)) {
      refusedRuns++;
      keeper.ifPresent(one -> one.release(HOLDER, call.name()));
      instance.work().removeLocal(decode, running);
      refused(call);
      return;
    }
    if (nowMillis - call.beganMillis() <= TARGET_MILLIS) {
      onTime++;
    }
    at(
        nowMillis + call.answer() * TOKEN_MILLIS,
        () -> {
          engine.free(occupied);
          keeper.ifPresent(one -> one.release(HOLDER, call.name()));
          instance.work().removeLocal(decode, running);
          served++;
        });
  }

  /** A refused caller comes back once. */
  private void refused(Call call) {
    if (call.arrivedMillis() > call.beganMillis()) {
      return;
    }
    long left = DEADLINE_MILLIS - (long) (nowMillis - call.beganMillis());
    double back = nowMillis + CapacityWaitPolicy.retryAfterMillis(left, random.nextDouble());
    at(back, () -> arrive(new Call(call.beganMillis(), back, call.prompt(), call.answer())));
  }
}
