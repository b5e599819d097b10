package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.Function;

/** Checks what only shows when sections of the published document are compared. */
final class CrossChecks {

  private final String fileName;
  private final IniContent content;
  private final List<CheckedSection> sections;
  private final Map<String, CheckedSection> pools;
  private final Map<String, CheckedSection> services;

  private CrossChecks(String fileName, IniContent content, List<CheckedSection> sections) {
    this.fileName = fileName;
    this.content = content;
    this.sections = sections;
    this.pools = byName(SectionKind.POOL);
    this.services = byName(SectionKind.SERVICE);
  }

  static CrossChecks of(String fileName, IniContent content, List<CheckedSection> sections) {
    return new CrossChecks(fileName, content, sections);
  }

  List<ConfigFault> faults() {
    return deployments()
        .appendAll(clean(SectionKind.POOL).flatMap(this::splitPool))
        .appendAll(clean(SectionKind.ENDPOINT).flatMap(this::endpoint))
        .appendAll(addresses())
        .appendAll(routes())
        .appendAll(clean(SectionKind.ROUTE).flatMap(this::splitRoute))
        .appendAll(clean(SectionKind.ACCOUNT).flatMap(CrossChecks::domainWeights))
        .appendAll(digests())
        .appendAll(links());
  }

  private List<ConfigFault> deployments() {
    List<IniSection> found = content.of(SectionKind.DEPLOYMENT);
    String form = SectionKind.DEPLOYMENT.form();
    if (found.isEmpty()) {
      return List.of(
          new ConfigFault(
              FaultKind.MISSING_SECTION,
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
                    FaultKind.REPEATED_SECTION,
                    fileName,
                    section.line(),
                    section.header(),
                    "",
                    section.header(),
                    "exactly one " + form + "; the first is on line " + found.head().line()));
  }

  private List<ConfigFault> splitPool(CheckedSection pool) {
    if (pool.get(DocumentKeys.POOL_KIND) == PoolKind.PLAIN) {
      return List.empty();
    }
    return List.of(
            need(pool, DocumentKeys.POOL_MODEL, !pool.get(DocumentKeys.POOL_MODEL).isEmpty()),
            need(pool, DocumentKeys.POOL_KV_BYTES, pool.get(DocumentKeys.POOL_KV_BYTES) > 0),
            need(pool, DocumentKeys.POOL_EVICTION, pool.get(DocumentKeys.POOL_EVICTION) > 0))
        .flatMap(Function.identity());
  }

  private static Option<ConfigFault> need(
      CheckedSection section, SettingKey<?> key, boolean present) {
    return Option.when(
        !present,
        () ->
            section.fault(
                FaultKind.UNSUITABLE_VALUE,
                key,
                key.allowed() + ", neither empty nor 0 for a split pool"));
  }

  private List<ConfigFault> endpoint(CheckedSection endpoint) {
    Option<CheckedSection> pool = pools.get(endpoint.get(DocumentKeys.ENDPOINT_POOL).value());
    EndpointRole role = endpoint.get(DocumentKeys.ENDPOINT_ROLE);
    if (pool.isEmpty()) {
      return List.empty();
    }
    PoolKind kind = pool.get().get(DocumentKeys.POOL_KIND);
    if (!kind.allows(role)) {
      return List.of(roleNotAllowed(endpoint, pool.get(), kind));
    }
    boolean hasMemory = endpoint.get(DocumentKeys.ENDPOINT_MEMORY) > 0;
    return need(endpoint, DocumentKeys.ENDPOINT_MEMORY, hasMemory || !role.isEngine()).toList();
  }

  private static ConfigFault roleNotAllowed(
      CheckedSection endpoint, CheckedSection pool, PoolKind kind) {
    String roles =
        List.of(EndpointRole.values()).filter(kind::allows).map(SettingWord::of).mkString(" or ");
    return endpoint.fault(
        FaultKind.ROLE_NOT_ALLOWED,
        DocumentKeys.ENDPOINT_ROLE,
        roles + ", as [" + pool.source().header() + "] is " + SettingWord.of(kind));
  }

  private List<ConfigFault> addresses() {
    return repeated(
        clean(SectionKind.ENDPOINT),
        endpoint ->
            endpoint.get(DocumentKeys.ENDPOINT_HOST)
                + " "
                + endpoint.get(DocumentKeys.ENDPOINT_PORT),
        FaultKind.REPEATED_ADDRESS,
        DocumentKeys.ENDPOINT_PORT,
        "an address of its own");
  }

  private List<ConfigFault> routes() {
    return repeated(
        clean(SectionKind.ROUTE),
        route -> route.get(DocumentKeys.ROUTE_METHOD) + " " + route.get(DocumentKeys.ROUTE_PATH),
        FaultKind.ROUTE_CLASH,
        DocumentKeys.ROUTE_PATH,
        "another method or path");
  }

  private List<ConfigFault> digests() {
    return repeated(
        clean(SectionKind.KEY),
        key -> key.get(DocumentKeys.KEY_DIGEST).hex(),
        FaultKind.REPEATED_DIGEST,
        DocumentKeys.KEY_DIGEST,
        "a digest of its own");
  }

  private static Option<ConfigFault> domainWeights(CheckedSection account) {
    Map<String, Integer> weights =
        account.family(DocumentKeys.ACCOUNT_DOMAIN_WEIGHT, Function.identity());
    boolean nowhere = weights.nonEmpty() && weights.values().forAll(weight -> weight == 0);
    return Option.when(
        nowhere,
        () ->
            account.fault(
                FaultKind.UNSUITABLE_VALUE,
                DocumentKeys.ACCOUNT_DOMAIN_WEIGHT,
                "a weight above 0 for at least one failure domain"));
  }

  private List<ConfigFault> links() {
    List<CheckedSection> links = clean(SectionKind.LINK);
    List<ConfigFault> loops =
        links
            .filter(link -> link.source().names().distinct().size() == 1)
            .map(link -> linkFault(link, "two different regions"));
    return loops.appendAll(
        groupsOf(links, link -> link.source().names().sorted().mkString(" "))
            .flatMap(
                group ->
                    group
                        .tail()
                        .map(
                            link ->
                                linkFault(link, "one link between two regions" + first(group)))));
  }

  private ConfigFault linkFault(CheckedSection link, String allowed) {
    IniSection source = link.source();
    return new ConfigFault(
        FaultKind.REPEATED_LINK,
        fileName,
        source.line(),
        source.header(),
        "",
        source.header(),
        allowed);
  }

  private List<ConfigFault> splitRoute(CheckedSection route) {
    String service = route.get(DocumentKeys.ROUTE_SERVICE).value();
    boolean split =
        services
            .get(service)
            .flatMap(section -> pools.get(section.get(DocumentKeys.SERVICE_POOL).value()))
            .exists(pool -> pool.get(DocumentKeys.POOL_KIND) == PoolKind.SPLIT);
    if (!split || route.get(DocumentKeys.ROUTE_METHOD).equals("POST")) {
      return List.empty();
    }
    return List.of(
        route.fault(
            FaultKind.UNSUITABLE_VALUE,
            DocumentKeys.ROUTE_METHOD,
            "POST, as [service " + service + "] has a split pool"));
  }

  private static List<ConfigFault> repeated(
      List<CheckedSection> sections,
      Function<CheckedSection, String> identity,
      FaultKind kind,
      SettingKey<?> key,
      String allowed) {
    return groupsOf(sections, identity)
        .flatMap(
            group -> group.tail().map(section -> section.fault(kind, key, allowed + first(group))));
  }

  private static String first(List<CheckedSection> group) {
    IniSection head = group.head().source();
    return "; the same is in [" + head.header() + "] on line " + head.line();
  }

  private static List<List<CheckedSection>> groupsOf(
      List<CheckedSection> sections, Function<CheckedSection, String> identity) {
    return sections.groupBy(identity).values().toList().filter(group -> group.size() > 1);
  }

  private Map<String, CheckedSection> byName(SectionKind kind) {
    return clean(kind).toMap(CheckedSection::name, Function.identity());
  }

  private List<CheckedSection> clean(SectionKind kind) {
    return sections.filter(section -> section.kind() == kind);
  }
}
