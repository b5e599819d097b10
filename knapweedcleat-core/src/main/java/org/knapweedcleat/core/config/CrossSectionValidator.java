package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.Function;

/** Checks what only shows when sections of the published document are compared. */
final class CrossSectionValidator {

  private final String fileName;
  private final IniContent content;
  private final List<ValidatedSection> sections;
  private final Map<String, ValidatedSection> pools;
  private final Map<String, ValidatedSection> services;

  private CrossSectionValidator(String fileName, IniContent content, List<ValidatedSection> sections) {
    this.fileName = fileName;
    this.content = content;
    this.sections = sections;
    this.pools = byName(SectionKind.POOL);
    this.services = byName(SectionKind.SERVICE);
  }

  static CrossSectionValidator of(String fileName, IniContent content, List<ValidatedSection> sections) {
    return new CrossSectionValidator(fileName, content, sections);
  }

  List<ConfigFault> validate() {
    return deployments()
        .appendAll(clean(SectionKind.POOL).flatMap(this::splitPool))
        .appendAll(clean(SectionKind.ENDPOINT).flatMap(this::endpoint))
        .appendAll(addresses())
        .appendAll(routes())
        .appendAll(clean(SectionKind.ROUTE).flatMap(this::splitRoute))
        .appendAll(clean(SectionKind.ACCOUNT).flatMap(CrossSectionValidator::domainWeights))
        .appendAll(digests())
        .appendAll(links());
  }

  private List<ConfigFault> deployments() {
    List<IniSection> found = content.of(SectionKind.DEPLOYMENT);
    String form = SectionKind.DEPLOYMENT.form();
    if (found.isEmpty()) {
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
    return found
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
                    "exactly one " + form + "; the first is on line " + found.head().line()));
  }

  private List<ConfigFault> splitPool(ValidatedSection pool) {
    if (pool.get(DocumentSettingKeys.POOL_KIND) == PoolKind.PLAIN) {
      return List.empty();
    }
    return List.of(
            need(pool, DocumentSettingKeys.POOL_MODEL, !pool.get(DocumentSettingKeys.POOL_MODEL).isEmpty()),
            need(pool, DocumentSettingKeys.POOL_KV_BYTES, pool.get(DocumentSettingKeys.POOL_KV_BYTES) > 0),
            need(pool, DocumentSettingKeys.POOL_EVICTION, pool.get(DocumentSettingKeys.POOL_EVICTION) > 0))
        .flatMap(Function.identity());
  }

  private static Option<ConfigFault> need(
      ValidatedSection section, SettingKey<?> key, boolean present) {
    return Option.when(
        !present,
        () ->
            section.fault(
                ConfigFaultKind.UNSUITABLE_VALUE,
                key,
                key.allowed() + ", neither empty nor 0 for a split pool"));
  }

  private List<ConfigFault> endpoint(ValidatedSection endpoint) {
    Option<ValidatedSection> pool = pools.get(endpoint.get(DocumentSettingKeys.ENDPOINT_POOL).value());
    EndpointRole role = endpoint.get(DocumentSettingKeys.ENDPOINT_ROLE);
    if (pool.isEmpty()) {
      return List.empty();
    }
    PoolKind kind = pool.get().get(DocumentSettingKeys.POOL_KIND);
    if (!kind.allows(role)) {
      return List.of(roleNotAllowed(endpoint, pool.get(), kind));
    }
    boolean hasMemory = endpoint.get(DocumentSettingKeys.ENDPOINT_MEMORY) > 0;
    return need(endpoint, DocumentSettingKeys.ENDPOINT_MEMORY, hasMemory || !role.isEngine()).toList();
  }

  private static ConfigFault roleNotAllowed(
      ValidatedSection endpoint, ValidatedSection pool, PoolKind kind) {
    String roles =
        List.of(EndpointRole.values()).filter(kind::allows).map(SettingFormatter::format).mkString(" or ");
    return endpoint.fault(
        ConfigFaultKind.ROLE_NOT_ALLOWED,
        DocumentSettingKeys.ENDPOINT_ROLE,
        roles + ", as [" + pool.section().header() + "] is " + SettingFormatter.format(kind));
  }

  private List<ConfigFault> addresses() {
    return repeated(
        clean(SectionKind.ENDPOINT),
        endpoint ->
            endpoint.get(DocumentSettingKeys.ENDPOINT_HOST)
                + " "
                + endpoint.get(DocumentSettingKeys.ENDPOINT_PORT),
        ConfigFaultKind.REPEATED_ADDRESS,
        DocumentSettingKeys.ENDPOINT_PORT,
        "an address of its own");
  }

  private List<ConfigFault> routes() {
    return repeated(
        clean(SectionKind.ROUTE),
        route -> route.get(DocumentSettingKeys.ROUTE_METHOD) + " " + route.get(DocumentSettingKeys.ROUTE_PATH),
        ConfigFaultKind.ROUTE_CLASH,
        DocumentSettingKeys.ROUTE_PATH,
        "another method or path");
  }

  private List<ConfigFault> digests() {
    return repeated(
        clean(SectionKind.KEY),
        key -> key.get(DocumentSettingKeys.KEY_DIGEST).hex(),
        ConfigFaultKind.REPEATED_DIGEST,
        DocumentSettingKeys.KEY_DIGEST,
        "a digest of its own");
  }

  private static Option<ConfigFault> domainWeights(ValidatedSection account) {
    Map<String, Integer> weights =
        account.getByPrefix(DocumentSettingKeys.ACCOUNT_DOMAIN_WEIGHT, Function.identity());
    boolean nowhere = weights.nonEmpty() && weights.values().forAll(weight -> weight == 0);
    return Option.when(
        nowhere,
        () ->
            account.fault(
                ConfigFaultKind.UNSUITABLE_VALUE,
                DocumentSettingKeys.ACCOUNT_DOMAIN_WEIGHT,
                "a weight above 0 for at least one failure domain"));
  }

  private List<ConfigFault> links() {
    List<ValidatedSection> links = clean(SectionKind.LINK);
    List<ConfigFault> loops =
        links
            .filter(link -> link.section().names().distinct().size() == 1)
            .map(link -> linkFault(link, "two different regions"));
    return loops.appendAll(
        groupsOf(links, link -> link.section().names().sorted().mkString(" "))
            .flatMap(
                group ->
                    group
                        .tail()
                        .map(
                            link ->
                                linkFault(link, "one link between two regions" + first(group)))));
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

  private List<ConfigFault> splitRoute(ValidatedSection route) {
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

  private static List<ConfigFault> repeated(
      List<ValidatedSection> sections,
      Function<ValidatedSection, String> identity,
      ConfigFaultKind kind,
      SettingKey<?> key,
      String allowed) {
    return groupsOf(sections, identity)
        .flatMap(
            group -> group.tail().map(section -> section.fault(kind, key, allowed + first(group))));
  }

  private static String first(List<ValidatedSection> group) {
    IniSection head = group.head().section();
    return "; the same is in [" + head.header() + "] on line " + head.line();
  }

  private static List<List<ValidatedSection>> groupsOf(
      List<ValidatedSection> sections, Function<ValidatedSection, String> identity) {
    return sections.groupBy(identity).values().toList().filter(group -> group.size() > 1);
  }

  private Map<String, ValidatedSection> byName(SectionKind kind) {
    return clean(kind).toMap(ValidatedSection::name, Function.identity());
  }

  private List<ValidatedSection> clean(SectionKind kind) {
    return sections.filter(section -> section.kind() == kind);
  }
}
