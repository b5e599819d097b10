package org.knapweedcleat.bench.pattern;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.knapweedcleat.bench.pattern.DomainWaves.Measurement;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
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

/**
 * Simulates streams of three failure domains in virtual time, placed by the allocator of their
 * region.
 */
final class StreamWaveSimulation {

  private static final long MEMORY_TOKENS = 42_754;
  private static final int PREFILL_ENGINES = 2;
  private static final int DECODE_ENGINES = 4;
  private static final long TARGET_MILLIS = 900;
  private static final long DEADLINE_MILLIS = 14_000;
  private static final long RETRY_MILLIS = 150;
  private static final long MAX_WAIT_MILLIS = 400;
  private static final double MILLIS_PER_OUTPUT_TOKEN = 3.4;
  private static final int MAX_OUTPUT_TOKENS = 2_080;

  /** Duration of a KV cache transfer within a domain; twice as long between domains. */
  private static final double TRANSFER_MILLIS = 40;

  private static final double INTER_DOMAIN_DELAY_MILLIS = 0.9;
  private static final EngineProfile PROFILE = new EngineProfile(64, MEMORY_TOKENS, 500, 13);

  private final Random random;
  private final Map<EndpointId, SimulatedEngine> engines = new HashMap<>();
  private final List<EndpointEntry> entries = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final StreamCapacityAllocator allocator;
  private Measurement measurement = Measurement.NONE;
  private double nowMillis;
  private long nextNumber;

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private record Call(
      String id, FailureDomainId home, double sentMillis, long promptTokens, long outputTokens) {}

  StreamWaveSimulation(long seed, boolean keepsCallsAtHome) {
    this.random = new Random(seed);
    for (FailureDomainId domain : DomainWaves.DOMAINS) {
      for (int i = 0; i < PREFILL_ENGINES + DECODE_ENGINES; i++) {
        SimulatedEngine engine =
            new SimulatedEngine(
                domain + "-" + i,
                i < PREFILL_ENGINES ? EndpointStage.PREFILL : EndpointStage.DECODE,
                MEMORY_TOKENS,
                domain);
        engines.put(engine.entry().id(), engine);
        entries.add(engine.entry());
      }
    }
    WorkloadTracker workload = WorkloadTracker.of(2_500);
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    Random selection = new Random(seed + 1);
    EndpointSelector selector =
        EndpointSelector.of(
            DomainWaves.topology(DomainWaves.DOMAINS.get(0)),
            workload,
            health,
            selection::nextDouble,
            DomainWaves.filter(keepsCallsAtHome, 0, selection));
    this.allocator =
        StreamCapacityAllocator.of(
            IncarnationId.of(InstanceId.of("allocator"), 1),
            selector,
            workload,
            health,
            holder -> Optional.of(FailureDomainId.of(holder.instance().value())));
  }

  /** Runs calls that arrive in each domain at the given mean rate. */
  Measurement simulate(long durationMillis, double callsPerSecond) {
    for (FailureDomainId domain : DomainWaves.DOMAINS) {
      double atMillis = 0;
      while (atMillis < durationMillis) {
        atMillis = DomainWaves.nextArrivalMillis(domain, atMillis, callsPerSecond, random);
        Call call = newCall(domain, atMillis);
        schedule(atMillis, () -> place(call));
      }
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return measurement;
  }

  private void schedule(double atMillis, Runnable action) {
    events.add(new Event(atMillis, nextNumber++, action));
  }

  private Call newCall(FailureDomainId home, double sentMillis) {
    long promptTokens = 1_000 + (long) (random.nextDouble() * 4_400);
    long outputTokens =
        Math.min(MAX_OUTPUT_TOKENS, (long) (900 * Math.exp(0.6 * random.nextGaussian()) * 0.85));
    return new Call("r" + nextNumber, home, sentMillis, promptTokens, outputTokens);
  }

  private void place(Call call) {
    StreamRequirements requirements =
        new StreamRequirements(
            call.promptTokens(),
            call.promptTokens() + MAX_OUTPUT_TOKENS / 4,
            true,
            Set.of(),
            0.93,
            false,
            300);
    Optional<StreamPlacement> placement =
        allocator.place(
            (long) nowMillis,
            holder(call),
            call.id(),
            DEADLINE_MILLIS,
            entries,
            Set.of(),
            PROFILE,
            requirements);
    if (placement.isPresent()) {
      prefill(call, placement.get());
    } else if (nowMillis - call.sentMillis() < MAX_WAIT_MILLIS) {
      schedule(nowMillis + RETRY_MILLIS, () -> place(call));
    } else {
      measurement = measurement.plusRefused();
    }
  }

  private static IncarnationId holder(Call call) {
    return IncarnationId.of(InstanceId.of(call.home().value()), 1);
  }

  private void prefill(Call call, StreamPlacement placement) {
    EndpointEntry decode = placement.decode();
    EndpointEntry prefill = placement.prefill().orElse(decode);
    double prefilledMillis = engines.get(prefill.id()).prefill(nowMillis, call.promptTokens());
    double transferMillis =
        placement.prefill().isEmpty()
            ? 0
            : TRANSFER_MILLIS * (prefill.domain().equals(decode.domain()) ? 1 : 2);
    boolean hasLeft = !decode.domain().equals(call.home());
    double delayMillis = hasLeft ? 2 * INTER_DOMAIN_DELAY_MILLIS : 0;
    schedule(prefilledMillis + transferMillis + delayMillis, () -> decode(call, decode, hasLeft));
  }

  private void decode(Call call, EndpointEntry entry, boolean hasLeft) {
    SimulatedEngine engine = engines.get(entry.id());
    long occupiedTokens = call.promptTokens() + call.outputTokens() / 2;
    if (!engine.tryReserve(occupiedTokens)) {
      allocator.release(holder(call), call.id());
      measurement = measurement.plusRefused();
      return;
    }
    double firstEventMillis = nowMillis - call.sentMillis();
    measurement = measurement.plusCall(hasLeft, firstEventMillis, firstEventMillis > TARGET_MILLIS);
    schedule(
        nowMillis + call.outputTokens() * MILLIS_PER_OUTPUT_TOKEN,
        () -> {
          engine.release(occupiedTokens);
          allocator.release(holder(call), call.id());
        });
  }
}
