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

/** The simulated engines of a fleet with their links, delayed load reports and cache events. */
final class SimulatedEngineCluster {

  private final EventQueue events;
  private final EngineParameters parameters;
  private final PlacementPolicy policy;
  private final double cacheEventLossRate;
  private final UniformRandomProvider random;
  private final Map<EndpointId, SimulatedPrefillEngine> prefillEngines = new TreeMap<>();
  private final Map<EndpointId, SimulatedDecodeEngine> decodeEngines = new TreeMap<>();
  private final Map<FailureDomainId, SimulatedLink> links =
      new TreeMap<>((one, other) -> one.value().compareTo(other.value()));

  private SimulatedEngineCluster(
      EventQueue events, Scenario scenario, PlacementPolicy policy, long seed) {
    this.events = events;
    this.parameters = scenario.engineParameters();
    this.policy = policy;
    this.cacheEventLossRate = scenario.cacheEventLossRate();
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  static SimulatedEngineCluster of(
      EventQueue events,
      Scenario scenario,
      PlacementPolicy policy,
      BenchmarkFleet fleet,
      long seed) {
    SimulatedEngineCluster engines = new SimulatedEngineCluster(events, scenario, policy, seed);
    for (EndpointSpec spec : fleet.endpoints(EndpointRole.PREFILL)) {
      engines.addPrefill(spec);
    }
    for (EndpointSpec spec : fleet.endpoints(EndpointRole.DECODE)) {
      engines.addDecode(spec);
    }
    return engines;
  }

  /** Starts the periodic load reports, which reach the consumer after the reporting delay. */
  void startLoadReports(Consumer<EndpointLoad> consumer) {
    events.repeatEveryMillis(
        parameters.reportIntervalMillis(),
        () -> {
          prefillEngines.values().stream()
              .filter(engine -> !engine.isFailed())
              .forEach(engine -> deliverLater(engine.load(0), consumer));
          decodeEngines.values().stream()
              .filter(engine -> !engine.isFailed())
              .forEach(engine -> deliverLater(engine.load(), consumer));
        });
  }

  SimulatedPrefillEngine prefillEngine(EndpointId id) {
    return prefillEngines.get(id);
  }

  SimulatedDecodeEngine decodeEngine(EndpointId id) {
    return decodeEngines.get(id);
  }

  SimulatedLink domainLink(FailureDomainId domain) {
    return links.computeIfAbsent(
        domain, key -> SimulatedLink.of(events, parameters.linkBytesPerSecond()));
  }

  void failEngine(String endpointId) {
    EndpointId id = EndpointId.of(endpointId);
    if (decodeEngines.containsKey(id)) {
      decodeEngines.get(id).fail();
    } else {
      prefillEngines.get(id).fail();
    }
  }

  int heldRequests() {
    return decodeEngines.values().stream().mapToInt(engine -> engine.load().held().size()).sum();
  }

  private void addPrefill(EndpointSpec spec) {
    prefillEngines.put(
        spec.id(),
        SimulatedPrefillEngine.of(spec.id(), events, parameters, this::publishCacheEvent));
  }

  private void addDecode(EndpointSpec spec) {
    decodeEngines.put(
        spec.id(), SimulatedDecodeEngine.of(spec.id(), events, parameters, spec.memoryPieces()));
  }

  private void deliverLater(EndpointLoad load, Consumer<EndpointLoad> consumer) {
    events.scheduleAfterMillis(parameters.reportLagMillis(), () -> consumer.accept(load));
  }

  private void publishCacheEvent(CacheHint hint) {
    if (random.nextDouble() >= cacheEventLossRate) {
      events.scheduleAfterMillis(
          parameters.cacheEventLagMillis(), () -> policy.applyCacheHint(hint));
    }
  }
}
