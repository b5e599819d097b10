package org.knapweedcleat.core.config.diff;

import io.vavr.collection.List;
import io.vavr.control.Option;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.ApiKeySpec;
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
   * @param old the older document
   * @param now the newer document
   * @return what differs
   */
  public static DocumentDiff between(FleetDocument old, FleetDocument now) {
    return new DocumentDiff(
        deployment(old, now)
            .appendAll(regions(old, now))
            .appendAll(domains(old, now))
            .appendAll(links(old, now))
            .appendAll(pools(old, now))
            .appendAll(services(old, now))
            .appendAll(routes(old, now))
            .appendAll(accounts(old, now))
            .appendAll(keys(old, now))
            .appendAll(endpoints(old, now)));
  }

  /**
   * Lists the sections that differ.
   *
   * @return the changes, ordered by kind of section and name
   */
  public List<SectionChange> changes() {
    return changes;
  }

  /**
   * Lists the sections that differ and are dangerous.
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
   * @return the teams in the order of their names
   */
  public List<TeamId> teams() {
    return changes.flatMap(SectionChange::teams).distinct().sortBy(TeamId::value);
  }

  private static List<SectionChange> deployment(FleetDocument old, FleetDocument now) {
    if (old.name().equals(now.name()) && old.team().equals(now.team())) {
      return List.empty();
    }
    List<TeamId> teams =
        List.of(old, now).flatMap(document -> Option.ofOptional(document.team())).distinct();
    ValueChange name = new ValueChange("name", old.name(), now.name());
    ValueChange team =
        new ValueChange(
            "team",
            old.team().map(TeamId::value).orElse(""),
            now.team().map(TeamId::value).orElse(""));
    List<Danger> dangers =
        old.name().equals(now.name()) ? List.empty() : List.of(Danger.DEPLOYMENT_CHANGED);
    return List.of(
        new SectionChange(
            SectionChange.Kind.CHANGED,
            SectionKind.DEPLOYMENT.word() + " " + now.name(),
            teams,
            List.of(name, team).reject(change -> change.before().equals(change.after())),
            dangers));
  }

  private static List<SectionChange> regions(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(
            SectionKind.REGION, (RegionSpec spec) -> spec.id().value(), RegionSpec::team)
        .onRemoval(Danger.TOPOLOGY_CHANGED)
        .compare(old.regions().values(), now.regions().values());
  }

  private static List<SectionChange> domains(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(
            SectionKind.DOMAIN,
            (FailureDomainSpec spec) -> spec.id().value(),
            FailureDomainSpec::team)
        .onRemoval(Danger.TOPOLOGY_CHANGED)
        .onChange(DangerRules::domain)
        .compare(old.domains().values(), now.domains().values());
  }

  private static List<SectionChange> links(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(
            SectionKind.LINK, (LinkSpec spec) -> spec.from() + " " + spec.to(), LinkSpec::team)
        .onRemoval(Danger.TOPOLOGY_CHANGED)
        .onChange(DangerRules::link)
        .compare(old.links(), now.links());
  }

  private static List<SectionChange> pools(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(
            SectionKind.POOL, (PoolSpec spec) -> spec.id().value(), PoolSpec::team)
        .onRemoval(Danger.POOL_CHANGED)
        .onChange(DangerRules::pool)
        .compare(old.pools().values(), now.pools().values());
  }

  private static List<SectionChange> services(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(
            SectionKind.SERVICE, (ServiceSpec spec) -> spec.id().value(), ServiceSpec::team)
        .onRemoval(Danger.SERVICE_REMOVED)
        .onChange(DangerRules::service)
        .compare(old.services().values(), now.services().values());
  }

  private static List<SectionChange> routes(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(SectionKind.ROUTE, RouteSpec::name, RouteSpec::team)
        .onRemoval(Danger.ROUTE_REMOVED)
        .onChange(DangerRules::route)
        .onAddition(DangerRules::newRoute)
        .compare(old.routes(), now.routes());
  }

  private static List<SectionChange> accounts(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(
            SectionKind.ACCOUNT, (AccountSpec spec) -> spec.id().value(), AccountSpec::team)
        .onRemoval(Danger.ACCOUNT_REMOVED)
        .onChange(DangerRules.account(old, now))
        .compare(old.accounts().values(), now.accounts().values());
  }

  private static List<SectionChange> keys(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(SectionKind.KEY, ApiKeySpec::name, ApiKeySpec::team)
        .onRemoval(Danger.KEY_REMOVED)
        .onChange(DangerRules::key)
        .compare(old.keys(), now.keys());
  }

  private static List<SectionChange> endpoints(FleetDocument old, FleetDocument now) {
    return new SectionComparison<>(
            SectionKind.ENDPOINT, (EndpointSpec spec) -> spec.id().value(), EndpointSpec::team)
        .onRemoval(Danger.ENDPOINT_REMOVED)
        .onChange(DangerRules::endpoint)
        .compare(old.endpoints().values(), now.endpoints().values());
  }
}
