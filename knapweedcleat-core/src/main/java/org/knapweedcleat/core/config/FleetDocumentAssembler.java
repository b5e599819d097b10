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

/** Builds the fleet document from validated sections. */
final class FleetDocumentAssembler {

  private final List<ValidatedSection> sections;

  private FleetDocumentAssembler(List<ValidatedSection> sections) {
    this.sections = sections;
  }

  static FleetDocument assemble(List<ValidatedSection> sections) {
    return new FleetDocumentAssembler(sections).assemble();
  }

  private FleetDocument assemble() {
    ValidatedSection deployment = ofKind(SectionKind.DEPLOYMENT).head();
    return new FleetDocument(
            deployment.name(),
            byId(SectionKind.REGION, FleetDocumentAssembler::region, RegionSpec::id),
            byId(SectionKind.DOMAIN, FleetDocumentAssembler::domain, FailureDomainSpec::id),
            ofKind(SectionKind.LINK).map(FleetDocumentAssembler::link).asJava(),
            byId(SectionKind.POOL, FleetDocumentAssembler::pool, PoolSpec::id),
            byId(SectionKind.SERVICE, FleetDocumentAssembler::service, ServiceSpec::id),
            ofKind(SectionKind.ROUTE).map(FleetDocumentAssembler::route).asJava(),
            byId(SectionKind.ACCOUNT, FleetDocumentAssembler::account, AccountSpec::id),
            ofKind(SectionKind.KEY).map(FleetDocumentAssembler::key).asJava(),
            byId(SectionKind.ENDPOINT, FleetDocumentAssembler::endpoint, EndpointSpec::id))
        .withTeam(team(deployment));
  }

  private List<ValidatedSection> ofKind(SectionKind kind) {
    return sections.filter(section -> section.kind() == kind);
  }

  private <K, T> Map<K, T> byId(
      SectionKind kind, Function<ValidatedSection, T> builder, Function<T, K> id) {
    return ofKind(kind).map(builder).collect(Collectors.toMap(id, Function.identity()));
  }

  private static RegionSpec region(ValidatedSection section) {
    return new RegionSpec(RegionId.of(section.name()), team(section));
  }

  private static FailureDomainSpec domain(ValidatedSection section) {
    return new FailureDomainSpec(
        FailureDomainId.of(section.name()),
        section.get(DocumentSettingKeys.DOMAIN_REGION),
        team(section));
  }

  private static LinkSpec link(ValidatedSection section) {
    List<RegionId> ends = section.section().names().map(RegionId::of);
    return new LinkSpec(
        ends.get(0),
        ends.get(1),
        section.get(DocumentSettingKeys.LINK_RATE),
        section.get(DocumentSettingKeys.LINK_DELAY),
        team(section));
  }

  private static PoolSpec pool(ValidatedSection section) {
    return new PoolSpec(
        PoolId.of(section.name()),
        section.get(DocumentSettingKeys.POOL_KIND),
        section.get(DocumentSettingKeys.POOL_MODEL),
        section.get(DocumentSettingKeys.POOL_KV_BYTES),
        section.get(DocumentSettingKeys.POOL_EVICTION),
        team(section));
  }

  private static ServiceSpec service(ValidatedSection section) {
    return new ServiceSpec(
        ServiceId.of(section.name()),
        section.get(DocumentSettingKeys.SERVICE_POOL),
        section.get(DocumentSettingKeys.SERVICE_FIRST_TOKEN),
        section.get(DocumentSettingKeys.SERVICE_TOKEN_GAP),
        section.get(DocumentSettingKeys.SERVICE_DEADLINE),
        section.get(DocumentSettingKeys.SERVICE_QUEUE),
        section.get(DocumentSettingKeys.SERVICE_PRIORITY),
        section.get(DocumentSettingKeys.SERVICE_UNCONFIRMED_KEY),
        team(section));
  }

  private static RouteSpec route(ValidatedSection section) {
    return new RouteSpec(
        section.name(),
        section.get(DocumentSettingKeys.ROUTE_METHOD),
        section.get(DocumentSettingKeys.ROUTE_PATH),
        section.get(DocumentSettingKeys.ROUTE_SERVICE),
        section.get(DocumentSettingKeys.ROUTE_SAFETY),
        section.get(DocumentSettingKeys.ROUTE_OPEN),
        team(section));
  }

  private static AccountSpec account(ValidatedSection section) {
    return new AccountSpec(
        AccountId.of(section.name()),
        section.get(DocumentSettingKeys.ACCOUNT_RATE),
        section.get(DocumentSettingKeys.ACCOUNT_BURST),
        section.get(DocumentSettingKeys.ACCOUNT_WEIGHT),
        section
            .getByPrefix(DocumentSettingKeys.ACCOUNT_DOMAIN_WEIGHT, FailureDomainId::of)
            .toJavaMap(),
        team(section));
  }

  private static ApiKeySpec key(ValidatedSection section) {
    return new ApiKeySpec(
        section.name(),
        section.get(DocumentSettingKeys.KEY_ACCOUNT),
        section.get(DocumentSettingKeys.KEY_DIGEST),
        team(section));
  }

  private static EndpointSpec endpoint(ValidatedSection section) {
    return new EndpointSpec(
        EndpointId.of(section.name()),
        section.get(DocumentSettingKeys.ENDPOINT_POOL),
        section.get(DocumentSettingKeys.ENDPOINT_ROLE),
        section.get(DocumentSettingKeys.ENDPOINT_DOMAIN),
        section.get(DocumentSettingKeys.ENDPOINT_HOST),
        section.get(DocumentSettingKeys.ENDPOINT_PORT),
        section.get(DocumentSettingKeys.ENDPOINT_MEMORY),
        section.get(DocumentSettingKeys.ENDPOINT_FENCING),
        section.get(DocumentSettingKeys.ENDPOINT_STATE),
        team(section));
  }

  private static TeamId team(ValidatedSection section) {
    return section.get(DocumentSettingKeys.teamKey(section.kind()));
  }
}
