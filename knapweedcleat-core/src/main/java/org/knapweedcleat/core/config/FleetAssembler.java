package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/** Makes the document from sections that were checked. */
final class FleetAssembler {

  private final List<CheckedSection> sections;

  private FleetAssembler(List<CheckedSection> sections) {
    this.sections = sections;
  }

  static FleetDocument assemble(List<CheckedSection> sections) {
    return new FleetAssembler(sections).assemble();
  }

  private FleetDocument assemble() {
    CheckedSection deployment = of(SectionKind.DEPLOYMENT).head();
    return new FleetDocument(
            deployment.name(),
            byId(SectionKind.REGION, FleetAssembler::region, RegionSpec::id),
            byId(SectionKind.DOMAIN, FleetAssembler::domain, FailureDomainSpec::id),
            of(SectionKind.LINK).map(FleetAssembler::link).asJava(),
            byId(SectionKind.POOL, FleetAssembler::pool, PoolSpec::id),
            byId(SectionKind.SERVICE, FleetAssembler::service, ServiceSpec::id),
            of(SectionKind.ROUTE).map(FleetAssembler::route).asJava(),
            byId(SectionKind.ACCOUNT, FleetAssembler::account, AccountSpec::id),
            of(SectionKind.KEY).map(FleetAssembler::key).asJava(),
            byId(SectionKind.ENDPOINT, FleetAssembler::endpoint, EndpointSpec::id))
        .withTeam(team(deployment));
  }

  private List<CheckedSection> of(SectionKind kind) {
    return sections.filter(section -> section.kind() == kind);
  }

  private <K, T> Map<K, T> byId(
      SectionKind kind, Function<CheckedSection, T> make, Function<T, K> id) {
    return of(kind).map(make).collect(Collectors.toMap(id, Function.identity()));
  }

  private static RegionSpec region(CheckedSection section) {
    return new RegionSpec(RegionId.of(section.name()), team(section));
  }

  private static FailureDomainSpec domain(CheckedSection section) {
    return new FailureDomainSpec(
        FailureDomainId.of(section.name()), section.get(DocumentKeys.DOMAIN_REGION), team(section));
  }

  private static LinkSpec link(CheckedSection section) {
    List<RegionId> ends = section.source().names().map(RegionId::of);
    return new LinkSpec(
        ends.get(0),
        ends.get(1),
        section.get(DocumentKeys.LINK_RATE),
        section.get(DocumentKeys.LINK_DELAY),
        team(section));
  }

  private static PoolSpec pool(CheckedSection section) {
    return new PoolSpec(
        PoolId.of(section.name()),
        section.get(DocumentKeys.POOL_KIND),
        section.get(DocumentKeys.POOL_MODEL),
        section.get(DocumentKeys.POOL_KV_BYTES),
        section.get(DocumentKeys.POOL_EVICTION),
        team(section));
  }

  private static ServiceSpec service(CheckedSection section) {
    return new ServiceSpec(
        ServiceId.of(section.name()),
        section.get(DocumentKeys.SERVICE_POOL),
        section.get(DocumentKeys.SERVICE_FIRST_TOKEN),
        section.get(DocumentKeys.SERVICE_TOKEN_GAP),
        section.get(DocumentKeys.SERVICE_DEADLINE),
        section.get(DocumentKeys.SERVICE_QUEUE),
        section.get(DocumentKeys.SERVICE_PRIORITY),
        section.get(DocumentKeys.SERVICE_UNCONFIRMED_KEY),
        team(section));
  }

  private static RouteSpec route(CheckedSection section) {
    return new RouteSpec(
        section.name(),
        section.get(DocumentKeys.ROUTE_METHOD),
        section.get(DocumentKeys.ROUTE_PATH),
        section.get(DocumentKeys.ROUTE_SERVICE),
        section.get(DocumentKeys.ROUTE_SAFETY),
        section.get(DocumentKeys.ROUTE_OPEN),
        team(section));
  }

  private static AccountSpec account(CheckedSection section) {
    return new AccountSpec(
        AccountId.of(section.name()),
        section.get(DocumentKeys.ACCOUNT_RATE),
        section.get(DocumentKeys.ACCOUNT_BURST),
        section.get(DocumentKeys.ACCOUNT_WEIGHT),
        section.family(DocumentKeys.ACCOUNT_DOMAIN_WEIGHT, FailureDomainId::of).toJavaMap(),
        team(section));
  }

  private static KeySpec key(CheckedSection section) {
    return new KeySpec(
        section.name(),
        section.get(DocumentKeys.KEY_ACCOUNT),
        section.get(DocumentKeys.KEY_DIGEST),
        team(section));
  }

  private static EndpointSpec endpoint(CheckedSection section) {
    return new EndpointSpec(
        EndpointId.of(section.name()),
        section.get(DocumentKeys.ENDPOINT_POOL),
        section.get(DocumentKeys.ENDPOINT_ROLE),
        section.get(DocumentKeys.ENDPOINT_DOMAIN),
        section.get(DocumentKeys.ENDPOINT_HOST),
        section.get(DocumentKeys.ENDPOINT_PORT),
        section.get(DocumentKeys.ENDPOINT_MEMORY),
        section.get(DocumentKeys.ENDPOINT_FENCING),
        section.get(DocumentKeys.ENDPOINT_STATE),
        team(section));
  }

  private static TeamId team(CheckedSection section) {
    return section.get(DocumentKeys.team(section.kind()));
  }
}
