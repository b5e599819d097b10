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

/** Tells which duties the instances of the own failure domain have. */
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
            pool -> document().stream().flatMap(known -> known.endpoints(pool, domain).stream()))
        .filter(endpoint -> endpoint.role().isEngine())
        .toList();
  }

  /** Returns the live incarnations of the own failure domain. */
  Set<IncarnationId> liveIncarnations() {
    return view.domainMembers().stream().map(Member::incarnation).collect(Collectors.toSet());
  }

  /** Tells whether an incarnation is a live one of the own failure domain. */
  boolean isInDomain(IncarnationId incarnation) {
    return liveIncarnations().contains(incarnation);
  }

  /** Lists the other failure domains, those of the own region first. */
  List<FailureDomainId> otherDomains() {
    FailureDomainId own = view.self().domain();
    return document().stream()
        .flatMap(known -> known.domains().values().stream())
        .filter(domain -> !domain.id().equals(own))
        .sorted(
            Comparator.comparing((FailureDomainSpec domain) -> !isInOwnRegion(domain))
                .thenComparing(FailureDomainSpec::id))
        .map(FailureDomainSpec::id)
        .toList();
  }

  private boolean isInOwnRegion(FailureDomainSpec domain) {
    return document()
        .map(known -> known.domains().get(view.self().domain()))
        .filter(own -> own.region().equals(domain.region()))
        .isPresent();
  }

  /** Lists the client accounts whose tokens this instance keeps for its failure domain. */
  List<AccountId> homeAccounts() {
    return document().stream()
        .flatMap(known -> known.accounts().keySet().stream())
        .filter(account -> view.homeOf(account).filter(view.self()::equals).isPresent())
        .sorted()
        .toList();
  }

  /** Lists all pools in the order of their ids. */
  List<PoolId> pools() {
    return document().stream().flatMap(known -> known.pools().keySet().stream()).sorted().toList();
  }

  /** Returns the instance that schedules a pool in the own failure domain. */
  Optional<IncarnationId> schedulerOf(PoolId pool) {
    return view.schedulerOf(pool, view.self().domain()).map(Member::incarnation);
  }

  private Optional<FleetDocument> document() {
    return fleet.current().map(FleetSnapshot::document);
  }
}
