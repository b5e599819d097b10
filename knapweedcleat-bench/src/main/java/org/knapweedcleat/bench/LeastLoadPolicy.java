package org.knapweedcleat.bench;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.schedule.ScheduleAction;
import org.knapweedcleat.core.schedule.ScheduleAction.SendDecision;

/** Baseline: places each request at once on the least loaded engines by the load reports. */
final class LeastLoadPolicy implements PlacementPolicy {

  private static final long FAILURE_BACKOFF_MILLIS = 5_000;

  private final BenchmarkFleet fleet;
  private final Map<EndpointId, EndpointLoad> loads = new HashMap<>();
  private final Map<EndpointId, Long> failedAtMillis = new HashMap<>();
  private final Map<String, EndpointId> decodeEngineByAttempt = new HashMap<>();
  private final UniformRandomProvider random;

  private LeastLoadPolicy(BenchmarkFleet fleet, long seed) {
    this.fleet = fleet;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  static LeastLoadPolicy of(BenchmarkFleet fleet, long seed) {
    return new LeastLoadPolicy(fleet, seed);
  }

  @Override
  public List<ScheduleAction> submit(
      long nowMillis, FailureDomainId domain, PlacementRequest request) {
    RegionId region = fleet.document().domains().get(domain).region();
    EndpointSpec decode =
        leastLoaded(
            fleet.endpoints(EndpointRole.DECODE).stream()
                .filter(spec -> regionOf(spec).equals(region))
                .filter(
                    spec ->
                        nowMillis - failedAtMillis.getOrDefault(spec.id(), -FAILURE_BACKOFF_MILLIS)
                            >= FAILURE_BACKOFF_MILLIS)
                .toList(),
            EndpointLoad::usedPieces);
    EndpointSpec prefill =
        leastLoaded(
            fleet.endpoints(EndpointRole.PREFILL).stream()
                .filter(spec -> spec.domain().equals(decode.domain()))
                .toList(),
            EndpointLoad::queuedPrefillTokens);
    decodeEngineByAttempt.put(request.request() + "/" + request.attempt(), decode.id());
    return List.of(
        new SendDecision(
            request.owner(),
            new PlacementDecision.Split(
                request.request(), request.attempt(), prefill.id(), decode.id(), 0)));
  }

  @Override
  public List<ScheduleAction> progress(
      long nowMillis, FailureDomainId domain, IncarnationId owner, PlacementProgress progress) {
    if (progress.stage() == PlacementStage.ENDPOINT_FAILED) {
      EndpointId decode = decodeEngineByAttempt.get(progress.request() + "/" + progress.attempt());
      failedAtMillis.put(decode, nowMillis);
    }
    return List.of();
  }

  @Override
  public List<ScheduleAction> applyLoad(long nowMillis, EndpointLoad load) {
    loads.put(load.endpoint(), load);
    return List.of();
  }

  @Override
  public List<ScheduleAction> tick(long nowMillis) {
    return List.of();
  }

  @Override
  public boolean isCentral() {
    return false;
  }

  private RegionId regionOf(EndpointSpec spec) {
    return fleet.document().domains().get(spec.domain()).region();
  }

  private EndpointSpec leastLoaded(List<EndpointSpec> specs, ToIntFunction<EndpointLoad> metric) {
    int[] tieBreakers = random.ints(specs.size()).toArray();
    Comparator<Integer> byLoad = Comparator.comparingInt(index -> loadOf(specs.get(index), metric));
    return IntStream.range(0, specs.size())
        .boxed()
        .min(byLoad.thenComparingInt(index -> tieBreakers[index]))
        .map(specs::get)
        .orElseThrow();
  }

  private int loadOf(EndpointSpec spec, ToIntFunction<EndpointLoad> metric) {
    EndpointLoad load = loads.get(spec.id());
    return load == null ? 0 : metric.applyAsInt(load);
  }
}
