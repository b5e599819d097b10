package org.knapweedcleat.core.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.knapweedcleat.core.collection.BoundedMap;
import org.knapweedcleat.core.fleet.ObservationSource;

/**
 * The parts of prompts under which engines crash, by what this and other instances observed.
 *
 * <p>Such a crash is deterministic: every engine that begins to answer a request with the part is
 * lost, and a request that an engine survives acquits all its parts.
 */
public final class PromptQuarantine {

  /** How long a part stays in quarantine after the last engine was lost under it. */
  public static final long QUARANTINE_MILLIS = 10 * 60_000L;

  /** How long a loss counts; after a quarantine has ended, a single further loss renews it. */
  private static final long LOSS_RETENTION_MILLIS = 60 * 60_000L;

  /** Other instances learn of an observation several times over in this time. */
  private static final long REPORT_MILLIS = 3_000;

  private static final int MAX_LOSSES = 512;

  /** More than the shared parts that are in use at any time. */
  private static final int MAX_SERVED_PARTS = 8_192;

  private static final int MAX_REPORTED_LOSSES = 64;
  private static final int MAX_REPORTED_PARTS = 256;

  private final Map<EngineLoss.Key, EngineLoss> losses = BoundedMap.of(MAX_LOSSES);
  private final Map<PromptPartId, ServedPart> served = BoundedMap.of(MAX_SERVED_PARTS);
  private final Map<PromptPartId, Long> acquittedAtMillis = BoundedMap.of(MAX_REPORTED_PARTS);
  private final SuspectFinder finder = new SuspectFinder(served);
  private List<QuarantinedPart> suspects = List.of();
  private boolean outdated;

  private PromptQuarantine() {}

  /**
   * Returns a quarantine without parts.
   *
   * @return the quarantine
   */
  public static PromptQuarantine create() {
    return new PromptQuarantine();
  }

  /**
   * Records the loss of an engine.
   *
   * @param loss the loss
   * @return false if it is known or its request has no shared part
   */
  public boolean recordLoss(EngineLoss loss) {
    if (loss.parts().isEmpty() || losses.containsKey(loss.key())) {
      return false;
    }
    losses
        .values()
        .removeIf(
            known -> loss.observedAtMillis() - known.observedAtMillis() > LOSS_RETENTION_MILLIS);
    losses.put(loss.key(), loss);
    outdated = true;
    return true;
  }

  /**
   * Records that an engine survived a request with a part.
   *
   * @param survived the observation
   * @return true if that acquits the part of losses
   */
  public boolean recordServed(ServedPart survived) {
    ServedPart previous = served.get(survived.part());
    if (previous != null && previous.servedAtMillis() >= survived.servedAtMillis()) {
      return false;
    }
    long blamableSinceMillis = previous == null ? Long.MIN_VALUE : previous.servedAtMillis();
    served.remove(survived.part());
    served.put(survived.part(), survived);
    boolean acquits =
        losses.values().stream()
            .anyMatch(
                loss ->
                    loss.observedAtMillis() > blamableSinceMillis
                        && loss.observedAtMillis() <= survived.servedAtMillis()
                        && loss.parts().contains(survived.part()));
    if (acquits) {
      outdated = true;
      acquittedAtMillis.remove(survived.part());
      acquittedAtMillis.put(survived.part(), survived.servedAtMillis());
    }
    return acquits;
  }

  /**
   * Returns the quarantined part because of which a request must not be sent.
   *
   * @param nowMillis the current time
   * @param parts the shared parts of its prompt
   * @return the part; empty if the request may be sent
   */
  public Optional<QuarantinedPart> find(long nowMillis, Collection<PromptPartId> parts) {
    if (losses.isEmpty() || parts.isEmpty()) {
      return Optional.empty();
    }
    return quarantined(nowMillis).stream().filter(part -> part.matches(parts)).findFirst();
  }

  /**
   * Returns all quarantined parts.
   *
   * @param nowMillis the current time
   * @return the parts
   */
  public List<QuarantinedPart> quarantined(long nowMillis) {
    if (outdated) {
      outdated = false;
      suspects = finder.find(losses.values());
    }
    return suspects.stream()
        .filter(part -> nowMillis - part.lastLossAtMillis() <= QUARANTINE_MILLIS)
        .toList();
  }

  /**
   * Returns the recent losses that other instances may not know of.
   *
   * @param nowMillis the current time
   * @param sources whose observations to return
   * @return the losses
   */
  public List<EngineLoss> recentLosses(long nowMillis, Set<ObservationSource> sources) {
    return newestLosses(
        loss ->
            sources.contains(loss.source())
                && nowMillis - loss.observedAtMillis() <= REPORT_MILLIS);
  }

  /**
   * Returns the losses that keep parts in quarantine, for instances that have just started.
   *
   * @param nowMillis the current time
   * @return the losses
   */
  public List<EngineLoss> quarantiningLosses(long nowMillis) {
    List<QuarantinedPart> active = quarantined(nowMillis);
    return active.isEmpty()
        ? List.of()
        : newestLosses(
            loss -> active.stream().anyMatch(part -> loss.parts().contains(part.part())));
  }

  private List<EngineLoss> newestLosses(Predicate<EngineLoss> filter) {
    List<EngineLoss> matching = losses.values().stream().filter(filter).toList();
    return matching.subList(Math.max(0, matching.size() - MAX_REPORTED_LOSSES), matching.size());
  }

  /**
   * Returns the parts that engines survived and that others may blame for losses: those that were
   * acquitted recently, and those of the losses that are reported at the same time.
   *
   * @param nowMillis the current time
   * @param sources whose observations to return
   * @param reported the losses that are reported at the same time
   * @return the observations
   */
  public List<ServedPart> acquittals(
      long nowMillis, Set<ObservationSource> sources, List<EngineLoss> reported) {
    Set<PromptPartId> blamed = new HashSet<>();
    reported.forEach(loss -> blamed.addAll(loss.parts()));
    acquittedAtMillis.forEach(
        (part, atMillis) -> {
          if (nowMillis - atMillis <= REPORT_MILLIS) {
            blamed.add(part);
          }
        });
    return blamed.stream()
        .flatMap(part -> Optional.ofNullable(served.get(part)).stream())
        .filter(survived -> sources.contains(survived.source()))
        .sorted(Comparator.comparingLong(ServedPart::servedAtMillis).reversed())
        .limit(MAX_REPORTED_PARTS)
        .toList();
  }
}
