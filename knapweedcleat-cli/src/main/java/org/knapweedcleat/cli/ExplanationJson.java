package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.cli.Explanation.DomainOutlook;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.EndpointSpec;

/** Formats an explanation as JSON. */
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
    explanation.domains().forEach(outlook -> domains.add(domain(outlook)));
    return json.put("domains", domains);
  }

  private static JsonObject account(AccountSpec account) {
    return new JsonObject()
        .put("id", account.id().value())
        .put("rateTokensPerSecond", account.rateTokensPerSecond())
        .put("burstTokens", account.burstTokens())
        .put("weight", account.weight());
  }

  private static JsonObject domain(DomainOutlook outlook) {
    return new JsonObject()
        .put("domain", outlook.domain().id().value())
        .put("region", outlook.domain().region().value())
        .put("rateTokensPerSecond", outlook.rateTokensPerSecond())
        .put("burstTokens", outlook.burstTokens())
        .put("served", outlook.canServe())
        .put("candidates", ids(outlook.candidates()))
        .put("leaving", ids(outlook.leaving()));
  }

  private static JsonArray ids(List<EndpointSpec> endpoints) {
    return new JsonArray(endpoints.map(endpoint -> endpoint.id().value()).asJava());
  }
}
