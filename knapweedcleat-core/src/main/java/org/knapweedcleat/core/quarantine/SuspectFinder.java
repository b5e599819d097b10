package org.knapweedcleat.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedcleat.core.directory.EndpointIncarnation;

/**
 * Finds the parts of prompts that explain the losses of engines.
 *
 * <p>A part is suspected if several engines were lost under requests with it and no engine has
 * survived one since. The strongest suspect explains its losses; the parts of other requests that
 * the same engines had at that moment are not blamed for them.
 */
final class SuspectFinder {

  /** Number of engines that have to be lost. */
  private static final int MIN_CRASHED_ENGINES = 3;

  /** As {@link #MIN_CRASHED_ENGINES}, for a part that engines survived before. */
  private static final int MIN_CRASHED_ENGINES_OF_SERVED_PART = 5;

  /** Engines may be lost together for another reason, under a part that many requests share. */
  private static final long MIN_SPAN_OF_SERVED_PART_MILLIS = 3_000;

  /** A single request may have been sent to several engines. */
  private static final int MIN_REQUESTS = 2;

  private static final Comparator<Suspect> STRONGEST_FIRST =
      Comparator.comparing(Suspect::wasServed)
          .thenComparing(suspect -> -suspect.part().crashedEngines())
          .thenComparing(suspect -> -suspect.part().companions().size())
          .thenComparing(suspect -> suspect.part().part());

  private final Map<PromptPartId, ServedPart> served;

  private record Suspect(
      QuarantinedPart part, Set<EndpointIncarnation> engines, boolean wasServed) {}

  SuspectFinder(Map<PromptPartId, ServedPart> served) {
    this.served = served;
  }

  /** Returns the parts that explain the losses, the strongest suspect first. */
  List<QuarantinedPart> find(Collection<EngineLoss> losses) {
    List<QuarantinedPart> found = new ArrayList<>();
    List<EngineLoss> unexplained = new ArrayList<>(losses);
    Optional<Suspect> suspect = strongestSuspect(unexplained);
    while (suspect.isPresent()) {
      found.add(suspect.get().part());
      Set<EndpointIncarnation> explained = suspect.get().engines();
      unexplained.removeIf(loss -> explained.contains(loss.engine()));
      suspect = strongestSuspect(unexplained);
    }
    return found;
  }

  private Optional<Suspect> strongestSuspect(List<EngineLoss> losses) {
    Map<PromptPartId, List<EngineLoss>> lossesByPart = new HashMap<>();
    for (EngineLoss loss : losses) {
      for (PromptPartId part : blamableParts(loss)) {
        lossesByPart.computeIfAbsent(part, key -> new ArrayList<>()).add(loss);
      }
    }
    return lossesByPart.entrySet().stream()
        .flatMap(entry -> suspect(entry.getKey(), entry.getValue()).stream())
        .min(STRONGEST_FIRST);
  }

  private Optional<Suspect> suspect(PromptPartId part, List<EngineLoss> losses) {
    Set<EndpointIncarnation> engines =
        losses.stream().map(EngineLoss::engine).collect(Collectors.toSet());
    int requests = (int) losses.stream().map(EngineLoss::requestId).distinct().count();
    long firstMillis = losses.stream().mapToLong(EngineLoss::observedAtMillis).min().orElse(0);
    long lastMillis = losses.stream().mapToLong(EngineLoss::observedAtMillis).max().orElse(0);
    boolean wasServed = served.containsKey(part);
    int minEngines = wasServed ? MIN_CRASHED_ENGINES_OF_SERVED_PART : MIN_CRASHED_ENGINES;
    long minSpanMillis = wasServed ? MIN_SPAN_OF_SERVED_PART_MILLIS : 0;
    if (engines.size() < minEngines
        || requests < MIN_REQUESTS
        || lastMillis - firstMillis < minSpanMillis) {
      return Optional.empty();
    }
    QuarantinedPart quarantined =
        new QuarantinedPart(part, commonParts(losses), engines.size(), requests, lastMillis);
    return Optional.of(new Suspect(quarantined, engines, wasServed));
  }

  private Set<PromptPartId> commonParts(List<EngineLoss> losses) {
    Set<PromptPartId> common = new HashSet<>(blamableParts(losses.get(0)));
    losses.forEach(loss -> common.retainAll(blamableParts(loss)));
    return common;
  }

  /** Returns the parts that no engine has survived since the loss. */
  private Set<PromptPartId> blamableParts(EngineLoss loss) {
    return loss.parts().stream()
        .filter(
            part -> {
              ServedPart survived = served.get(part);
              return survived == null || survived.servedAtMillis() < loss.observedAtMillis();
            })
        .collect(Collectors.toSet());
  }
}
