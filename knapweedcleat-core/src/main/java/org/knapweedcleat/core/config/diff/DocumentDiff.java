package org.knapweedcleat.core.config.diff;

import io.vavr.collection.List;
import io.vavr.control.Option;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.ApiKeySpec;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.LinkSpec;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RegionSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.SectionKind;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.TeamId;

/** The differences between two documents; immutable. */
public final class DocumentDiff {

  private final List<SectionChange> changes;

  private DocumentDiff(List<SectionChange> changes) {
    this.changes = changes;
  }

  /**
   * Compares two documents.
   *
   * @param before the older document
   * @param after the newer document
   * @return the differences
   */
  public static DocumentDiff between(FleetDocument before, FleetDocument after) {
    return new DocumentDiff(
        deployment(before, after)
            .appendAll(regions(before, after))
            .appendAll(domains(before, after))
            .appendAll(links(before, after))
            .appendAll(pools(before, after))
            .appendAll(services(before, after))
            .appendAll(routes(before, after))
            .appendAll(accounts(before, after))
            .appendAll(keys(before, after))
            .appendAll(endpoints(before, after)));
  }

  /**
   * Lists the sections that differ.
   *
   * @return the changes, ordered by section kind and name
   */
  public List<SectionChange> changes() {
    return changes;
  }

  /**
   * Lists the changes that have at least one danger.
   *
   * @return the changes
   */
  public List<SectionChange> dangerous() {
    return changes.filter(change -> change.dangers().nonEmpty());
  }

  /**
   * Lists the headers of the sections that differ.
   *
   * @return the headers without brackets
   */
  public List<String> sections() {
    return changes.map(SectionChange::section);
  }

  /**
   * Lists the teams whose sections differ.
   *
   * @return the teams, ordered by name
   */
  public List<TeamId> teams() {
    return changes.flatMap(SectionChange::teams).distinct().sortBy(TeamId::value);
  }

  private static List<SectionChange> deployment(FleetDocument before, FleetDocument after) {
    if (before.name().equals(after.name()) && before.team().equals(after.team())) {
      return List.empty();
    }
    List<TeamId> teams =
        List.of(before, after).flatMap(document -> Option.ofOptional(document.team())).distinct();
    ValueChange name = new ValueChange("name", before.name(), after.name());
    ValueChange team =
        new ValueChange(
            "team",
            before.team().map(TeamId::value).orElse(""),
            after.team().map(TeamId::value).orElse(""));
    List<Danger> dangers =
        before.name().equals(after.name()) ? List.empty() : List.of(Danger.DEPLOYMENT_CHANGED);
    return List.of(
        new SectionChange(
            SectionChange.Kind.CHANGED,
            SectionKind.DEPLOYMENT.word() + " " + after.name(),
            teams,
            List.of(name, team).reject(change -> change.before().equals(change.after())),
            dangers));
  }

  private static List<SectionChange> regions(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(
            SectionKind.REGION, (RegionSpec spec) -> spec.id().value(), RegionSpec::team)
        .onRemoval(Danger.TOPOLOGY_CHANGED)
        .compare(before.regions().values(), after.regions().values());
  }

  private static List<SectionChange> domains(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(
            SectionKind.DOMAIN,
            (FailureDomainSpec spec) -> spec.id().value(),
            FailureDomainSpec::team)
        .onRemoval(Danger.TOPOLOGY_CHANGED)
        .onChange(DangerRules::domain)
        .compare(before.domains().values(), after.domains().values());
  }

  private static List<SectionChange> links(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(
            SectionKind.LINK, (LinkSpec spec) -> spec.from() + " " + spec.to(), LinkSpec::team)
        .onRemoval(Danger.TOPOLOGY_CHANGED)
        .onChange(DangerRules::link)
        .compare(before.links(), after.links());
  }

  private static List<SectionChange> pools(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(
            SectionKind.POOL, (PoolSpec spec) -> spec.id().value(), PoolSpec::team)
        .onRemoval(Danger.POOL_CHANGED)
        .onChange(DangerRules::pool)
        .compare(before.pools().values(), after.pools().values());
  }

  private static List<SectionChange> services(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(
            SectionKind.SERVICE, (ServiceSpec spec) -> spec.id().value(), ServiceSpec::team)
        .onRemoval(Danger.SERVICE_REMOVED)
        .onChange(DangerRules::service)
        .compare(before.services().values(), after.services().values());
  }

  private static List<SectionChange> routes(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(SectionKind.ROUTE, RouteSpec::name, RouteSpec::team)
        .onRemoval(Danger.ROUTE_REMOVED)
        .onChange(DangerRules::route)
        .onAddition(DangerRules::newRoute)
        .compare(before.routes(), after.routes());
  }

  private static List<SectionChange> accounts(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(
            SectionKind.ACCOUNT, (AccountSpec spec) -> spec.id().value(), AccountSpec::team)
        .onRemoval(Danger.ACCOUNT_REMOVED)
        .onChange(DangerRules.account(before, after))
        .compare(before.accounts().values(), after.accounts().values());
  }

  private static List<SectionChange> keys(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(SectionKind.KEY, ApiKeySpec::name, ApiKeySpec::team)
        .onRemoval(Danger.KEY_REMOVED)
        .onChange(DangerRules::key)
        .compare(before.keys(), after.keys());
  }

  private static List<SectionChange> endpoints(FleetDocument before, FleetDocument after) {
    return new SectionComparison<>(
            SectionKind.ENDPOINT, (EndpointSpec spec) -> spec.id().value(), EndpointSpec::team)
        .onRemoval(Danger.ENDPOINT_REMOVED)
        .onChange(DangerRules::endpoint)
        .compare(before.endpoints().values(), after.endpoints().values());
  }
}
