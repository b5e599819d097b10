package org.knapweedcleat.cli;

import io.vavr.collection.List;
import org.knapweedcleat.cli.Explanation.DomainOutlook;
import org.knapweedcleat.cli.Explanation.Target;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.config.SettingFormatter;

/** Formats an explanation as text for operators. */
final class ExplanationText {

  private ExplanationText() {}

  static List<String> lines(Explanation explanation) {
    List<String> lines = explanation.target().toList().flatMap(ExplanationText::target);
    boolean served = explanation.refusal().isEmpty();
    return lines
        .appendAll(explanation.account().toList().map(ExplanationText::account))
        .appendAll(explanation.domains().flatMap(outlook -> domain(explanation, outlook)))
        .appendAll(
            explanation
                .target()
                .filter(target -> served)
                .toList()
                .flatMap(target -> possibleRefusals(explanation, target)))
        .appendAll(
            explanation
                .refusal()
                .map(
                    refusal ->
                        "This request is refused: "
                            + refusal.status()
                            + " "
                            + refusal.error()
                            + ": "
                            + refusal.reason()));
  }

  private static List<String> target(Target target) {
    ServiceSpec service = target.service();
    return List.of(
        "route    "
            + target.route().name()
            + " (team "
            + target.route().team()
            + "), "
            + keyRequirement(target),
        "         " + safety(target),
        "service  "
            + service.id()
            + " (team "
            + service.team()
            + "), priority "
            + service.priority()
            + ", first token within "
            + service.firstTokenTargetMillis()
            + " ms, abandoned after "
            + service.deadlineMillis()
            + " ms",
        "pool     "
            + target.pool().id()
            + " (team "
            + target.pool().team()
            + "), "
            + (target.pool().kind() == PoolKind.SPLIT
                ? "split: prefill on one endpoint, decode on another, model "
                    + target.pool().model()
                : "plain: one endpoint answers the whole call"));
  }

  private static String keyRequirement(Target target) {
    return target.route().open() ? "open to all" : "needs a key";
  }

  private static String safety(Target target) {
    return target.route().safety().allowsResend()
        ? "idempotent: retried on another endpoint when one fails"
        : "at most once: never retried; a failure after bytes were sent is answered \"maybe ran\"";
  }

  private static String account(AccountSpec account) {
    return "account  "
        + account.id()
        + " (team "
        + account.team()
        + "), "
        + account.rateTokensPerSecond()
        + " tokens/s and a burst of "
        + account.burstTokens()
        + " over the whole fleet, weight "
        + account.weight();
  }

  private static List<String> domain(Explanation explanation, DomainOutlook outlook) {
    String limits =
        explanation.account().isEmpty()
            ? "no account limit"
            : outlook.rateTokensPerSecond()
                + " tokens/s and a burst of "
                + outlook.burstTokens()
                + " of its own, plus leases from other failure domains";
    return List.of(
            "", "in " + outlook.domain().id() + " (" + outlook.domain().region() + "): " + limits)
        .appendAll(outlook.candidates().map(endpoint -> endpoint(endpoint, "may serve it")))
        .appendAll(
            outlook.leaving().map(endpoint -> endpoint(endpoint, "leaving: gets no new work")))
        .appendAll(
            outlook.canServe() ? List.empty() : List.of("  ! cannot serve it: NO_ENDPOINT here"));
  }

  private static String endpoint(EndpointSpec endpoint, String verdict) {
    return String.format(
        "  %-28s %-8s %s:%d  %s",
        endpoint.id(),
        SettingFormatter.format(endpoint.role()),
        endpoint.host(),
        endpoint.port(),
        verdict);
  }

  private static List<String> possibleRefusals(Explanation explanation, Target target) {
    ServiceSpec service = target.service();
    List<String> keyRefusals =
        target.route().open()
            ? List.empty()
            : List.of(
                "401 UNKNOWN_KEY: the key's digest is not in the document in force",
                "429 OVER_RATE: "
                    + explanation.account().map(account -> account.id().value()).getOrElse("it")
                    + " has used up its rate and burst",
                "503 KEY_UNCONFIRMED: neither platform nor peers confirmed the document for "
                    + service.unconfirmedKeyMillis()
                    + " ms");
    return List.of("", "It can be refused, with a retry time, as")
        .appendAll(
            keyRefusals
                .append(
                    "503 QUEUE_FULL: "
                        + service.queueLimit()
                        + " requests are already queued in the failure domain")
                .append(
                    "503 DEADLINE: it can no longer start within "
                        + service.deadlineMillis()
                        + " ms")
                .append("503 NO_ENDPOINT: no endpoint that it needs takes new work")
                .map(line -> "  " + line));
  }
}
