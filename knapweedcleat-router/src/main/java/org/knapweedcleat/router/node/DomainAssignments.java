package org.knapweedcleat.router.node;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;

/** Determines which instances of the own failure domain are responsible for pools and accounts. */
final class DomainAssignments {

  private final FleetSnapshotProvider fleet;
  private MembershipView view;

  private DomainAssignments(FleetSnapshotProvider fleet, MembershipView view) {
    this.fleet = fleet;
    this.view = view;
  }

  static DomainAssignments of(FleetSnapshotProvider fleet, MembershipView view) {
    return new DomainAssignments(fleet, view);
  }

  void updateMembers(MembershipView newView) {
    view = newView;
  }

  /** Lists the pools that this instance schedules. */
  List<PoolId> scheduledPools() {
    IncarnationId self = view.self().incarnation();
    return pools().stream()
        .filter(pool -> schedulerOf(pool).filter(self::equals).isPresent())
        .toList();
  }

  /** Lists the engines of the pools that this instance schedules. */
  List<EndpointSpec> scheduledEngines() {
    FailureDomainId domain = view.self().domain();
    return scheduledPools().stream()
        .flatMap(
            pool ->
                document().stream()
                    .flatMap(fleetDocument -> fleetDocument.endpoints(pool, domain).stream()))
        .filter(endpoint -> endpoint.role().isEngine())
        .toList();
  }

  /** Returns the live incarnations of the own failure domain. */
  Set<IncarnationId> liveIncarnations() {
    return view.domainMembers().stream().map(Member::incarnation).collect(Collectors.toSet());
  }

  /** Tells whether an incarnation is a live member of the own failure domain. */
  boolean isInDomain(IncarnationId incarnation) {
    return liveIncarnations().contains(incarnation);
  }

  /** Lists the other failure domains, those of the own region first. */
  List<FailureDomainId> otherDomains() {
    FailureDomainId ownDomain = view.self().domain();
    return document().stream()
        .flatMap(fleetDocument -> fleetDocument.domains().values().stream())
        .filter(domain -> !domain.id().equals(ownDomain))
        .sorted(
            Comparator.comparing((FailureDomainSpec domain) -> !isInOwnRegion(domain))
                .thenComparing(FailureDomainSpec::id))
        .map(FailureDomainSpec::id)
        .toList();
  }

  private boolean isInOwnRegion(FailureDomainSpec domain) {
    return document()
        .map(fleetDocument -> fleetDocument.domains().get(view.self().domain()))
        .filter(ownDomain -> ownDomain.region().equals(domain.region()))
        .isPresent();
  }

  /** Lists the client accounts whose tokens this instance keeps for its failure domain. */
  List<AccountId> homeAccounts() {
    return document().stream()
        .flatMap(fleetDocument -> fleetDocument.accounts().keySet().stream())
        .filter(account -> view.homeOf(account).filter(view.self()::equals).isPresent())
        .sorted()
        .toList();
  }

  /** Lists all pools, ordered by ID. */
  List<PoolId> pools() {
    return document().stream()
        .flatMap(fleetDocument -> fleetDocument.pools().keySet().stream())
        .sorted()
        .toList();
  }

  /** Returns the incarnation that schedules a pool in the own failure domain. */
  Optional<IncarnationId> schedulerOf(PoolId pool) {
    return view.schedulerOf(pool, view.self().domain()).map(Member::incarnation);
  }

  private Optional<FleetDocument> document() {
    return fleet.current().map(FleetSnapshot::document);
  }
}
