package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.cli.Explanation.DomainOutlook;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.EndpointSpec;

/** Writes an explanation for programs. */
final class ExplanationJson {

  private ExplanationJson() {}

  static JsonObject of(Explanation explanation) {
    JsonObject json = new JsonObject().put("refused", explanation.refusal().isDefined());
    explanation
        .refusal()
        .forEach(
            refusal ->
                json.put("status", refusal.status())
                    .put("error", refusal.error())
                    .put("reason", refusal.reason()));
    explanation
        .target()
        .forEach(
            target ->
                json.put("route", target.route().name())
                    .put("open", target.route().open())
                    .put("safety", target.route().safety().name())
                    .put("service", target.service().id().value())
                    .put("pool", target.pool().id().value()));
    explanation.account().forEach(account -> json.put("account", account(account)));
    JsonArray domains = new JsonArray();
    explanation.domains().forEach(part -> domains.add(domain(part)));
    return json.put("domains", domains);
  }

  private static JsonObject account(AccountSpec account) {
    return new JsonObject()
        .put("id", account.id().value())
        .put("rateTokensPerSecond", account.rateTokensPerSecond())
        .put("burstTokens", account.burstTokens())
        .put("weight", account.weight());
  }

  private static JsonObject domain(DomainOutlook part) {
    return new JsonObject()
        .put("domain", part.domain().id().value())
        .put("region", part.domain().region().value())
        .put("rateTokensPerSecond", part.rateTokensPerSecond())
        .put("burstTokens", part.burstTokens())
        .put("served", part.canServe())
        .put("candidates", names(part.candidates()))
        .put("leaving", names(part.leaving()));
  }

  private static JsonArray names(List<EndpointSpec> endpoints) {
    return new JsonArray(endpoints.map(endpoint -> endpoint.id().value()).asJava());
  }
}
