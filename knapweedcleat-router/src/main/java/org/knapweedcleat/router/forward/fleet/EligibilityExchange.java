package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.router.forward.store.EligibilityCache;

/** Exchanges evacuations and cold times with other instances. */
final class EligibilityExchange {

  private final FleetMember self;
  private final EligibilityCache cache;
  private int sentEvacuationsHash;

  EligibilityExchange(FleetMember self, EligibilityCache cache) {
    this.self = self;
    this.cache = cache;
    this.sentEvacuationsHash = evacuationsHash();
  }

  /** Returns whether evacuations have changed since the last notice. */
  boolean hasUnsentEvacuations() {
    return evacuationsHash() != sentEvacuationsHash;
  }

  void markSent() {
    sentEvacuationsHash = evacuationsHash();
  }

  private int evacuationsHash() {
    return cache.evacuations().changes().hashCode();
  }

  /**
   * Returns what other instances are to be told.
   *
   * @param nowMillis the current time
   * @param sources whose observations of cold endpoints to include
   * @return the notice; empty if there is nothing to tell
   */
  Optional<EligibilityNotice> notice(long nowMillis, Set<ObservationSource> sources) {
    List<EvacuationReport> evacuations =
        cache.evacuations().changes().stream().map(EvacuationReport::of).toList();
    List<ColdReport> coldEndpoints =
        cache.coldEndpoints().current(nowMillis, sources).stream()
            .map(observation -> ColdReport.of(nowMillis, observation))
            .toList();
    return evacuations.isEmpty() && coldEndpoints.isEmpty()
        ? Optional.empty()
        : Optional.of(new EligibilityNotice(self, evacuations, coldEndpoints));
  }

  /** Applies a notice of another instance. */
  void onNotice(long nowMillis, EligibilityNotice notice) {
    ObservationSource source =
        notice.sender().domain().equals(self.domain())
            ? ObservationSource.OWN_DOMAIN
            : ObservationSource.OTHER_DOMAIN;
    notice
        .evacuations()
        .forEach(report -> cache.applyEvacuation(report.toChange(), source.label()));
    notice
        .coldEndpoints()
        .forEach(report -> cache.recordObservation(report.toObservation(nowMillis, source)));
  }
}
