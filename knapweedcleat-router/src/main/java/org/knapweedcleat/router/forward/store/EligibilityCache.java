package org.knapweedcleat.router.forward.store;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.collection.BoundedMap;
import org.knapweedcleat.core.directory.DomainEvacuations;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.directory.PublishedFault;
import org.knapweedcleat.core.directory.PublishedNames;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.core.throttle.ColdEndpoints;
import org.knapweedcleat.core.throttle.ColdObservation;
import org.knapweedcleat.core.throttle.ColdTimeRule;
import org.knapweedcleat.router.forward.log.DecisionLog;

/**
 * Local copy of the published evacuations and cold times, fed by the store, by responses of
 * endpoints and by other instances. Logs each change, and each faulty value once.
 */
public final class EligibilityCache {

  /** Source of changes that are read from the store. */
  static final String STORE = "store";

  /** More than an operator corrects; a fault that was dropped is logged again. */
  private static final int MAX_FAULTS = 1_000;

  /** Far more than the endpoints of any deployment; the oldest entries are dropped. */
  private static final int MAX_PUBLISHED = 4_000;

  private final DomainEvacuations evacuations = DomainEvacuations.create();
  private final ColdEndpoints coldEndpoints = ColdEndpoints.create();
  private final Map<EndpointIncarnation, StorePosition> publishedColdTimes =
      BoundedMap.of(MAX_PUBLISHED);
  private final Map<PublishedFault, Boolean> loggedFaults = BoundedMap.of(MAX_FAULTS);
  private final PublishedNames names;
  private final LongSupplier clock;
  private final DecisionLog log;

  EligibilityCache(
      Map<FailureDomainId, RegionId> regionByDomain, LongSupplier clock, DecisionLog log) {
    this.names = PublishedNames.of(regionByDomain);
    this.clock = clock;
    this.log = log;
  }

  /**
   * Returns the evacuated failure domains.
   *
   * @return the evacuations
   */
  public DomainEvacuations evacuations() {
    return evacuations;
  }

  /**
   * Returns the endpoints that are cold.
   *
   * @return the endpoints
   */
  public ColdEndpoints coldEndpoints() {
    return coldEndpoints;
  }

  /**
   * Returns whether an endpoint is cold.
   *
   * @param endpoint the endpoint
   * @return true if it has stated so, for a time that has not passed
   */
  public boolean isCold(EndpointEntry endpoint) {
    return coldEndpoints.isCold(clock.getAsLong(), EndpointIncarnation.of(endpoint));
  }

  /**
   * Applies a change to an evacuation.
   *
   * @param change the change
   * @param source where it was learned from
   */
  public void applyEvacuation(DomainEvacuations.Change change, String source) {
    if (!evacuations.apply(clock.getAsLong(), change)) {
      return;
    }
    log.stateChange(
        change.evacuated() ? "domain.evacuated" : "domain.returning",
        "domain",
        change.domain(),
        "position",
        change.position(),
        "source",
        source);
    if (change.evacuated()) {
      names.check(change.domain()).ifPresent(this::logOnce);
    }
  }

  /** Ends the evacuations that a full listing of the store lacks. */
  void endAbsent(List<PublishedItem> listed, StorePosition position) {
    Set<FailureDomainId> domains = new HashSet<>();
    for (PublishedItem item : listed) {
      if (item instanceof PublishedItem.Evacuation evacuation && evacuation.evacuated()) {
        domains.add(evacuation.domain());
      }
    }
    evacuations
        .endAbsent(clock.getAsLong(), domains, position)
        .forEach(domain -> logReturning(domain, "absent from a listing of the store"));
  }

  void tick() {
    evacuations
        .endExpired(clock.getAsLong())
        .forEach(domain -> logReturning(domain, "not published again in a restored store"));
  }

  private void logReturning(FailureDomainId domain, String reason) {
    log.stateChange("domain.returning", "domain", domain, "why", reason, "source", STORE);
  }

  /**
   * Records how long an endpoint stays cold by its published entry. An entry that is read again, as
   * in a listing, does not count again: its time has run since.
   */
  void recordPublished(PublishedItem.Endpoint endpoint, long coldStartMillis) {
    EndpointIncarnation incarnation = EndpointIncarnation.of(endpoint.entry());
    StorePosition previous = publishedColdTimes.get(incarnation);
    if (previous == null || endpoint.position().compareTo(previous) > 0) {
      publishedColdTimes.put(incarnation, endpoint.position());
      recordStatement(endpoint.entry(), endpoint.coldRemainingMillis(), coldStartMillis);
    }
  }

  /**
   * Records how long an endpoint stays cold by its own statement.
   *
   * @param endpoint the endpoint
   * @param remainingMillis the stated time
   * @param coldStartMillis how long endpoints of its service stay cold after a start; 0 if unknown
   */
  public void recordStatement(EndpointEntry endpoint, long remainingMillis, long coldStartMillis) {
    ColdTimeRule rule = ColdTimeRule.of(coldStartMillis);
    rule.check("endpoint " + endpoint.id(), remainingMillis).ifPresent(this::logOnce);
    long nowMillis = clock.getAsLong();
    recordObservation(
        new ColdObservation(
            EndpointIncarnation.of(endpoint),
            nowMillis + rule.effectiveMillis(remainingMillis),
            nowMillis,
            ObservationSource.LOCAL));
  }

  /**
   * Records an observation of a cold endpoint.
   *
   * @param observation the observation
   */
  public void recordObservation(ColdObservation observation) {
    if (coldEndpoints.record(observation)) {
      log.stateChange(
          "endpoint.cold",
          "endpoint",
          observation.endpoint().id(),
          "remainingMillis",
          observation.untilMillis() - observation.observedAtMillis(),
          "source",
          observation.source() == ObservationSource.LOCAL
              ? "the endpoint"
              : observation.source().label());
    }
  }

  void check(RoutingContent content) {
    names.check(content).forEach(this::logOnce);
  }

  private void logOnce(PublishedFault fault) {
    if (loggedFaults.put(fault, true) == null) {
      log.stateChange(
          "published.fault",
          "kind",
          fault.kind(),
          "subject",
          fault.subject(),
          "value",
          fault.value());
    }
  }
}
