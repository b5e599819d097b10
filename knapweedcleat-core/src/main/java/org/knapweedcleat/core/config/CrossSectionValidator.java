package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.Function;

/** Validates constraints that span several sections of the published document. */
final class CrossSectionValidator {

  private final String fileName;
  private final IniContent content;
  private final List<ValidatedSection> sections;
  private final Map<String, ValidatedSection> pools;
  private final Map<String, ValidatedSection> services;

  private CrossSectionValidator(
      String fileName, IniContent content, List<ValidatedSection> sections) {
    this.fileName = fileName;
    this.content = content;
    this.sections = sections;
    this.pools = byName(SectionKind.POOL);
    this.services = byName(SectionKind.SERVICE);
  }

  static CrossSectionValidator of(
      String fileName, IniContent content, List<ValidatedSection> sections) {
    return new CrossSectionValidator(fileName, content, sections);
  }

  List<ConfigFault> validate() {
    return deploymentFaults()
        .appendAll(ofKind(SectionKind.POOL).flatMap(this::missingSplitPoolValues))
        .appendAll(ofKind(SectionKind.ENDPOINT).flatMap(this::endpointFaults))
        .appendAll(duplicateAddresses())
        .appendAll(duplicateRoutes())
        .appendAll(ofKind(SectionKind.ROUTE).flatMap(this::splitRouteFaults))
        .appendAll(ofKind(SectionKind.ACCOUNT).flatMap(CrossSectionValidator::zeroDomainWeights))
        .appendAll(duplicateDigests())
        .appendAll(linkFaults());
  }

  private List<ConfigFault> deploymentFaults() {
    List<IniSection> deployments = content.of(SectionKind.DEPLOYMENT);
    String form = SectionKind.DEPLOYMENT.form();
    if (deployments.isEmpty()) {
      return List.of(
          new ConfigFault(
              ConfigFaultKind.MISSING_SECTION,
              fileName,
              0,
              form.replaceAll("[\\[\\]]", ""),
              "",
              "",
              "exactly one " + form));
    }
    return deployments
        .tail()
        .map(
            section ->
                new ConfigFault(
                    ConfigFaultKind.REPEATED_SECTION,
                    fileName,
                    section.line(),
                    section.header(),
                    "",
                    section.header(),
                    "exactly one " + form + "; the first is on line " + deployments.head().line()));
  }

  private List<ConfigFault> missingSplitPoolValues(ValidatedSection pool) {
    if (pool.get(DocumentSettingKeys.POOL_KIND) == PoolKind.PLAIN) {
      return List.empty();
    }
    return List.of(
            requirePresent(
                pool,
                DocumentSettingKeys.POOL_MODEL,
                !pool.get(DocumentSettingKeys.POOL_MODEL).isEmpty()),
            requirePresent(
                pool,
                DocumentSettingKeys.POOL_KV_BYTES,
                pool.get(DocumentSettingKeys.POOL_KV_BYTES) > 0),
            requirePresent(
                pool,
                DocumentSettingKeys.POOL_EVICTION,
                pool.get(DocumentSettingKeys.POOL_EVICTION) > 0))
        .flatMap(Function.identity());
  }

  private static Option<ConfigFault> requirePresent(
      ValidatedSection section, SettingKey<?> key, boolean present) {
    return Option.when(
        !present,
        () ->
            section.fault(
                ConfigFaultKind.UNSUITABLE_VALUE,
                key,
                key.allowed() + ", not empty and not 0 for a split pool"));
  }

  private List<ConfigFault> endpointFaults(ValidatedSection endpoint) {
    Option<ValidatedSection> pool =
        pools.get(endpoint.get(DocumentSettingKeys.ENDPOINT_POOL).value());
    EndpointRole role = endpoint.get(DocumentSettingKeys.ENDPOINT_ROLE);
    if (pool.isEmpty()) {
      return List.empty();
    }
    PoolKind kind = pool.get().get(DocumentSettingKeys.POOL_KIND);
    if (!kind.allows(role)) {
      return List.of(roleNotAllowed(endpoint, pool.get(), kind));
    }
    boolean hasMemory = endpoint.get(DocumentSettingKeys.ENDPOINT_MEMORY) > 0;
    return requirePresent(
            endpoint, DocumentSettingKeys.ENDPOINT_MEMORY, hasMemory || !role.isEngine())
        .toList();
  }

  private static ConfigFault roleNotAllowed(
      ValidatedSection endpoint, ValidatedSection pool, PoolKind kind) {
    String roles =
        List.of(EndpointRole.values())
            .filter(kind::allows)
            .map(SettingFormatter::format)
            .mkString(" or ");
    return endpoint.fault(
        ConfigFaultKind.ROLE_NOT_ALLOWED,
        DocumentSettingKeys.ENDPOINT_ROLE,
        roles + ", as [" + pool.section().header() + "] is " + SettingFormatter.format(kind));
  }

  private List<ConfigFault> duplicateAddresses() {
    return duplicates(
        ofKind(SectionKind.ENDPOINT),
        endpoint ->
            endpoint.get(DocumentSettingKeys.ENDPOINT_HOST)
                + " "
                + endpoint.get(DocumentSettingKeys.ENDPOINT_PORT),
        ConfigFaultKind.REPEATED_ADDRESS,
        DocumentSettingKeys.ENDPOINT_PORT,
        "an address that no other endpoint has");
  }

  private List<ConfigFault> duplicateRoutes() {
    return duplicates(
        ofKind(SectionKind.ROUTE),
        route ->
            route.get(DocumentSettingKeys.ROUTE_METHOD)
                + " "
                + route.get(DocumentSettingKeys.ROUTE_PATH),
        ConfigFaultKind.ROUTE_CLASH,
        DocumentSettingKeys.ROUTE_PATH,
        "another method or path");
  }

  private List<ConfigFault> duplicateDigests() {
    return duplicates(
        ofKind(SectionKind.KEY),
        key -> key.get(DocumentSettingKeys.KEY_DIGEST).hex(),
        ConfigFaultKind.REPEATED_DIGEST,
        DocumentSettingKeys.KEY_DIGEST,
        "a digest that no other key has");
  }

  private static Option<ConfigFault> zeroDomainWeights(ValidatedSection account) {
    Map<String, Integer> weights =
        account.getByPrefix(DocumentSettingKeys.ACCOUNT_DOMAIN_WEIGHT, Function.identity());
    boolean allZero = weights.nonEmpty() && weights.values().forAll(weight -> weight == 0);
    return Option.when(
        allZero,
        () ->
            account.fault(
                ConfigFaultKind.UNSUITABLE_VALUE,
                DocumentSettingKeys.ACCOUNT_DOMAIN_WEIGHT,
                "a weight above 0 for at least one failure domain"));
  }

  private List<ConfigFault> linkFaults() {
    List<ValidatedSection> links = ofKind(SectionKind.LINK);
    List<ConfigFault> loops =
        links
            .filter(link -> link.section().names().distinct().size() == 1)
            .map(link -> linkFault(link, "two different regions"));
    return loops.appendAll(
        duplicateGroups(links, link -> link.section().names().sorted().mkString(" "))
            .flatMap(
                group ->
                    group
                        .tail()
                        .map(
                            link ->
                                linkFault(
                                    link, "one link between two regions" + seeFirst(group)))));
  }

  private ConfigFault linkFault(ValidatedSection link, String allowed) {
    IniSection source = link.section();
    return new ConfigFault(
        ConfigFaultKind.REPEATED_LINK,
        fileName,
        source.line(),
        source.header(),
        "",
        source.header(),
        allowed);
  }

  private List<ConfigFault> splitRouteFaults(ValidatedSection route) {
    String service = route.get(DocumentSettingKeys.ROUTE_SERVICE).value();
    boolean split =
        services
            .get(service)
            .flatMap(section -> pools.get(section.get(DocumentSettingKeys.SERVICE_POOL).value()))
            .exists(pool -> pool.get(DocumentSettingKeys.POOL_KIND) == PoolKind.SPLIT);
    if (!split || route.get(DocumentSettingKeys.ROUTE_METHOD).equals("POST")) {
      return List.empty();
    }
    return List.of(
        route.fault(
            ConfigFaultKind.UNSUITABLE_VALUE,
            DocumentSettingKeys.ROUTE_METHOD,
            "POST, as [service " + service + "] has a split pool"));
  }

  private static List<ConfigFault> duplicates(
      List<ValidatedSection> sections,
      Function<ValidatedSection, String> identity,
      ConfigFaultKind kind,
      SettingKey<?> key,
      String allowed) {
    return duplicateGroups(sections, identity)
        .flatMap(
            group ->
                group.tail().map(section -> section.fault(kind, key, allowed + seeFirst(group))));
  }

  private static String seeFirst(List<ValidatedSection> group) {
    IniSection head = group.head().section();
    return "; the same value is in [" + head.header() + "] on line " + head.line();
  }

  private static List<List<ValidatedSection>> duplicateGroups(
      List<ValidatedSection> sections, Function<ValidatedSection, String> identity) {
    return sections.groupBy(identity).values().toList().filter(group -> group.size() > 1);
  }

  private Map<String, ValidatedSection> byName(SectionKind kind) {
    return ofKind(kind).toMap(ValidatedSection::name, Function.identity());
  }

  private List<ValidatedSection> ofKind(SectionKind kind) {
    return sections.filter(section -> section.kind() == kind);
  }
}
