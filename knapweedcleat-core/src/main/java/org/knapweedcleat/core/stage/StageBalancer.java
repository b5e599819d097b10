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
import org.knapweedcleat.core.id.RegionId;

/** Says which engine should change its part so that prompts and answers find equal room. */
public final class StageBalancer {

  private final double prefillFraction;
  private final Function<EndpointEntry, RegionId> regionOf;

  private StageBalancer(double prefillPart, Function<EndpointEntry, RegionId> region) {
    this.prefillFraction = prefillPart;
    this.regionOf = region;
  }

  /**
   * Returns a plan.
   *
   * @param prefillPart the part of the engines that read prompts, over 0 and under 1
   * @param region gives the region of an engine
   * @return the plan
   */
  public static StageBalancer of(double prefillPart, Function<EndpointEntry, RegionId> region) {
    if (!(prefillPart > 0 && prefillPart < 1)) {
      throw new IllegalArgumentException("prefill part of " + prefillPart);
    }
    return new StageBalancer(prefillPart, region);
  }

  /**
   * Returns the next change.
   *
   * <p>One engine changes at a time: in the region that is farthest from the part aimed at. A
   * service keeps at least one engine of each part.
   *
   * @param engines the engines of one service that take work
   * @return the change; empty if the parts are as near to the aim as whole engines allow
   */
  public Optional<StageChange> nextChange(List<EndpointEntry> engines) {
    long readers = engines.stream().filter(StageBalancer::isPrefill).count();
    long aim = Math.max(1, Math.round(engines.size() * prefillFraction));
    if (engines.size() < 2 || readers == aim) {
      return Optional.empty();
    }
    EndpointStage from = readers > aim ? EndpointStage.PREFILL : EndpointStage.DECODE;
    EndpointStage to = readers > aim ? EndpointStage.DECODE : EndpointStage.PREFILL;
    Map<RegionId, Double> excess = excess(engines, from);
    return engines.stream()
        .filter(engine -> engine.stage() == from)
        .max(
            Comparator.comparingDouble((EndpointEntry engine) -> excess.get(regionOf.apply(engine)))
                .thenComparing(EndpointEntry::id))
        .map(engine -> new StageChange(engine, to));
  }

  /** Returns by how many engines each region has more of a part than its share. */
  private Map<RegionId, Double> excess(List<EndpointEntry> engines, EndpointStage stage) {
    double part = stage == EndpointStage.PREFILL ? prefillFraction : 1 - prefillFraction;
    Map<RegionId, Double> excess = new HashMap<>();
    engines.stream()
        .collect(Collectors.groupingBy(regionOf))
        .forEach(
            (where, there) -> {
              long having = there.stream().filter(engine -> engine.stage() == stage).count();
              excess.put(where, having - part * there.size());
            });
    return excess;
  }

  private static boolean isPrefill(EndpointEntry engine) {
    return engine.stage() == EndpointStage.PREFILL;
  }
}
