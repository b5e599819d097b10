package org.knapweedcleat.core.stage;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;

/**
 * Selects the next engine to change its stage, so that a service approaches its target ratio of
 * prefill and decode engines.
 */
public final class StageBalancer {

  private final double prefillFraction;
  private final Function<EndpointEntry, Optional<RegionId>> regionOf;
  private final boolean balancesDomains;

  private StageBalancer(
      double prefillFraction,
      Function<EndpointEntry, Optional<RegionId>> regionOf,
      boolean balancesDomains) {
    this.prefillFraction = prefillFraction;
    this.regionOf = regionOf;
    this.balancesDomains = balancesDomains;
  }

  /**
   * Returns a balancer.
   *
   * @param prefillFraction the target fraction of prefill engines, above 0 and below 1
   * @param regionOf returns the region of an engine, empty if it is unknown
   * @return the balancer
   */
  public static StageBalancer of(
      double prefillFraction, Function<EndpointEntry, Optional<RegionId>> regionOf) {
    if (!(prefillFraction > 0 && prefillFraction < 1)) {
      throw new IllegalArgumentException(
          "prefill fraction is not between 0 and 1: " + prefillFraction);
    }
    return new StageBalancer(prefillFraction, regionOf, false);
  }

  /**
   * Returns a balancer that also prefers, within a region, the failure domain that exceeds its
   * target by most, so that fewer KV caches are transferred between domains.
   *
   * @param enabled whether domains matter
   * @return the balancer
   */
  public StageBalancer balancingDomains(boolean enabled) {
    return new StageBalancer(prefillFraction, regionOf, enabled);
  }

  /**
   * Returns the next change.
   *
   * <p>One engine changes at a time, in the region that exceeds its target by most. A service keeps
   * at least one engine of each stage.
   *
   * @param engines the engines of one service that accept work
   * @return the change, or empty if the number of prefill engines equals the rounded target
   */
  public Optional<StageChange> nextChange(List<EndpointEntry> engines) {
    long prefillEngines = engines.stream().filter(StageBalancer::isPrefill).count();
    long target = Math.max(1, Math.round(engines.size() * prefillFraction));
    if (engines.size() < 2 || prefillEngines == target) {
      return Optional.empty();
    }
    EndpointStage from = prefillEngines > target ? EndpointStage.PREFILL : EndpointStage.DECODE;
    EndpointStage to = prefillEngines > target ? EndpointStage.DECODE : EndpointStage.PREFILL;
    Map<Optional<RegionId>, Double> excess = excess(engines, from, regionOf);
    Map<FailureDomainId, Double> domainExcess = excess(engines, from, EndpointEntry::domain);
    return engines.stream()
        .filter(engine -> engine.stage() == from)
        .max(
            Comparator.comparingDouble((EndpointEntry engine) -> excess.get(regionOf.apply(engine)))
                .thenComparing(engine -> balancesDomains ? domainExcess.get(engine.domain()) : 0.0)
                .thenComparing(EndpointEntry::id))
        .map(engine -> new StageChange(engine, to));
  }

  /** Returns by how many engines of a stage each region or domain exceeds its target. */
  private <K> Map<K, Double> excess(
      List<EndpointEntry> engines, EndpointStage stage, Function<EndpointEntry, K> groupOf) {
    double fraction = stage == EndpointStage.PREFILL ? prefillFraction : 1 - prefillFraction;
    Map<K, Double> excess = new HashMap<>();
    engines.stream()
        .collect(Collectors.groupingBy(groupOf))
        .forEach(
            (group, groupEngines) -> {
              long count = groupEngines.stream().filter(engine -> engine.stage() == stage).count();
              excess.put(group, count - fraction * groupEngines.size());
            });
    return excess;
  }

  private static boolean isPrefill(EndpointEntry engine) {
    return engine.stage() == EndpointStage.PREFILL;
  }
}
