package org.knapweedcleat.bench;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.schedule.CacheHint;
import org.knapweedcleat.core.schedule.EndpointLoad;

/** The fake engines of a fleet, their links, and their late reports. */
final class Engines {

  private final EventQueue events;
  private final EngineSpeeds speeds;
  private final Policy policy;
  private final double cacheEventLoss;
  private final UniformRandomProvider random;
  private final Map<EndpointId, FakePrefillEngine> prefills = new TreeMap<>();
  private final Map<EndpointId, FakeDecodeEngine> decodes = new TreeMap<>();
  private final Map<FailureDomainId, FakeLink> links =
      new TreeMap<>((one, other) -> one.value().compareTo(other.value()));

  private Engines(EventQueue events, Scenario scenario, Policy policy, long seed) {
    this.events = events;
    this.speeds = scenario.speeds();
    this.policy = policy;
    this.cacheEventLoss = scenario.cacheEventLoss();
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  static Engines of(
      EventQueue events, Scenario scenario, Policy policy, BenchFleet fleet, long seed) {
    Engines engines = new Engines(events, scenario, policy, seed);
    for (EndpointSpec spec : fleet.endpoints(EndpointRole.PREFILL)) {
      engines.addPrefill(spec);
    }
    for (EndpointSpec spec : fleet.endpoints(EndpointRole.DECODE)) {
      engines.addDecode(spec);
    }
    return engines;
  }

  /** Starts the reports; their actions go to the given taker. */
  void startReports(Consumer<EndpointLoad> taker) {
    events.everyMillis(
        speeds.reportIntervalMillis(),
        () -> {
          prefills.values().stream()
              .filter(engine -> !engine.isLost())
              .forEach(engine -> later(engine.load(0), taker));
          decodes.values().stream()
              .filter(engine -> !engine.isLost())
              .forEach(engine -> later(engine.load(), taker));
        });
  }

  FakePrefillEngine prefill(EndpointId id) {
    return prefills.get(id);
  }

  FakeDecodeEngine decode(EndpointId id) {
    return decodes.get(id);
  }

  FakeLink link(FailureDomainId domain) {
    return links.computeIfAbsent(domain, key -> FakeLink.of(events, speeds.linkBytesPerSecond()));
  }

  void lose(String name) {
    EndpointId id = EndpointId.of(name);
    if (decodes.containsKey(id)) {
      decodes.get(id).lose();
    } else {
      prefills.get(id).lose();
    }
  }

  int heldRequests() {
    return decodes.values().stream().mapToInt(engine -> engine.load().held().size()).sum();
  }

  private void addPrefill(EndpointSpec spec) {
    prefills.put(spec.id(), FakePrefillEngine.of(spec.id(), events, speeds, this::publish));
  }

  private void addDecode(EndpointSpec spec) {
    decodes.put(spec.id(), FakeDecodeEngine.of(spec.id(), events, speeds, spec.memoryPieces()));
  }

  private void later(EndpointLoad load, Consumer<EndpointLoad> taker) {
    events.afterMillis(speeds.reportLagMillis(), () -> taker.accept(load));
  }

  private void publish(CacheHint hint) {
    if (random.nextDouble() >= cacheEventLoss) {
      events.afterMillis(speeds.cacheEventLagMillis(), () -> policy.cacheHint(hint));
    }
  }
}
