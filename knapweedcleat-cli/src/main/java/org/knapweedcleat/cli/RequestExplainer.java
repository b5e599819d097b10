package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Locale;
import org.knapweedcleat.cli.Explanation.DomainOutlook;
import org.knapweedcleat.cli.Explanation.Refusal;
import org.knapweedcleat.cli.Explanation.Target;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.ApiKeySpec;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.NameSuggester;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/** Determines how a request would be routed according to a document. */
final class RequestExplainer {

  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final FleetDocument document;

  private RequestExplainer(FleetDocument document) {
    this.document = document;
  }

  static RequestExplainer of(FleetDocument document) {
    return new RequestExplainer(document);
  }

  Explanation explain(ExplainQuery query) {
    Either<Refusal, Target> target = target(query);
    Either<Refusal, Option<AccountSpec>> account =
        target.flatMap(match -> chargedAccount(query, match));
    Option<AccountSpec> charged = account.getOrElse(Option.none());
    Either<Refusal, List<DomainOutlook>> domains =
        account.flatMap(known -> outlooks(query, target.get(), known));
    Option<Refusal> refusal =
        domains.fold(Option::some, outlooks -> noEndpoint(query, target.get(), outlooks));
    return new Explanation(
        query, refusal, target.toOption(), charged, domains.getOrElse(List.empty()));
  }

  private Either<Refusal, Target> target(ExplainQuery query) {
    String method = query.method().toUpperCase(Locale.ROOT);
    return Option.ofOptional(document.route(method, query.path()))
        .map(this::target)
        .toEither(() -> noRoute(method, query.path()));
  }

  private Target target(RouteSpec route) {
    ServiceSpec service = document.services().get(route.service());
    return new Target(route, service, document.pools().get(service.pool()));
  }

  private Refusal noRoute(String method, String path) {
    List<RouteSpec> routes = List.ofAll(document.routes());
    List<String> methods = routes.filter(route -> route.path().equals(path)).map(RouteSpec::method);
    String hint =
        methods.isEmpty()
            ? NameSuggester.hint(path, routes.map(RouteSpec::path))
                + "paths are "
                + routes.map(RouteSpec::path).distinct().sorted().mkString(", ")
            : "the path takes " + methods.mkString(", ");
    return new Refusal(NOT_FOUND, "NO_ROUTE", "no route for " + method + " " + path + "; " + hint);
  }

  private Either<Refusal, Option<AccountSpec>> chargedAccount(ExplainQuery query, Target target) {
    if (query.keyName().isDefined()) {
      return accountOfKey(query.keyName().get()).map(Option::some);
    }
    if (query.account().isDefined()) {
      return accountNamed(query.account().get()).map(Option::some);
    }
    return target.route().open()
        ? Either.right(Option.none())
        : Either.left(
            new Refusal(
                UNAUTHORIZED,
                "UNKNOWN_KEY",
                "the route needs a key; give --account or --key-name"));
  }

  private Either<Refusal, AccountSpec> accountOfKey(String name) {
    List<ApiKeySpec> keys = List.ofAll(document.keys());
    return keys.find(key -> key.name().equals(name))
        .map(key -> document.accounts().get(key.account()))
        .toEither(() -> unknownName("key", name, keys.map(ApiKeySpec::name)));
  }

  private Either<Refusal, AccountSpec> accountNamed(String name) {
    List<AccountId> accounts = List.ofAll(document.accounts().keySet()).sorted();
    return accounts
        .find(id -> id.value().equals(name))
        .map(id -> document.accounts().get(id))
        .toEither(() -> unknownName("client account", name, accounts.map(AccountId::value)));
  }

  private static Refusal unknownName(String kind, String name, List<String> known) {
    String reason = "the document has no " + kind + " \"" + name + "\"; ";
    String names = NameSuggester.hint(name, known) + "there are " + known.mkString(", ");
    return new Refusal(UNAUTHORIZED, "UNKNOWN_KEY", reason + names);
  }

  private Either<Refusal, List<DomainOutlook>> outlooks(
      ExplainQuery query, Target target, Option<AccountSpec> account) {
    List<FailureDomainSpec> all =
        List.ofAll(document.domains().values()).sortBy(FailureDomainSpec::id);
    List<FailureDomainSpec> queried =
        query
            .domain()
            .map(name -> all.filter(domain -> domain.id().value().equals(name)))
            .getOrElse(all);
    if (queried.isEmpty()) {
      List<String> names = all.map(domain -> domain.id().value());
      String reason =
          "the document has no failure domain \"" + query.domain().getOrElse("") + "\"; ";
      String hint = NameSuggester.hint(query.domain().getOrElse(""), names);
      return Either.left(
          new Refusal(
              UNAVAILABLE, "NO_ENDPOINT", reason + hint + "there are " + names.mkString(", ")));
    }
    return Either.right(queried.map(domain -> outlook(domain, target, account)));
  }

  private DomainOutlook outlook(
      FailureDomainSpec domain, Target target, Option<AccountSpec> account) {
    List<EndpointSpec> endpoints = List.ofAll(document.endpoints(target.pool().id(), domain.id()));
    double share = account.map(known -> document.domainShare(known, domain.id())).getOrElse(0.0);
    return new DomainOutlook(
        domain,
        (long) (account.map(AccountSpec::rateTokensPerSecond).getOrElse(0L) * share),
        (long) (account.map(AccountSpec::burstTokens).getOrElse(0L) * share),
        endpoints.filter(endpoint -> endpoint.state().acceptsNewWork()),
        endpoints.reject(endpoint -> endpoint.state().acceptsNewWork()));
  }

  private static Option<Refusal> noEndpoint(
      ExplainQuery query, Target target, List<DomainOutlook> outlooks) {
    if (outlooks.exists(DomainOutlook::canServe)) {
      return Option.none();
    }
    String place =
        query.domain().map(domain -> "failure domain " + domain).getOrElse("no failure domain");
    String reason =
        query.domain().isDefined()
            ? "pool "
                + target.pool().id()
                + " lacks an available endpoint of a required role in "
                + place
            : "pool "
                + target.pool().id()
                + " has available endpoints of all required roles in "
                + place;
    return Option.some(new Refusal(UNAVAILABLE, "NO_ENDPOINT", reason));
  }
}
