package org.knapweedcleat.bench;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.ServiceId;

/** Runs all policies in a scenario and prints the results as tables. */
final class ScenarioReport {

  private final PrintStream out;
  private final Scenario scenario;
  private final long seed;
  private final Map<MeasuredPolicy, RunStatistics> statistics = new EnumMap<>(MeasuredPolicy.class);

  private ScenarioReport(PrintStream out, Scenario scenario, long seed) {
    this.out = out;
    this.scenario = scenario;
    this.seed = seed;
  }

  static void print(PrintStream out, Scenario scenario, long seed) {
    ScenarioReport report = new ScenarioReport(out, scenario, seed);
    for (MeasuredPolicy policy : MeasuredPolicy.values()) {
      boolean overload = scenario == Scenario.ONE_ACCOUNT_FIVE_TIMES;
      report.statistics.put(policy, policy.run(scenario, seed, overload));
    }
    report.print();
  }

  private void print() {
    out.printf(Locale.ROOT, "## %s, seed %d%n%n", scenario.displayName(), seed);
    printSummary();
    printServices();
    printAccounts();
    if (scenario == Scenario.ONE_ACCOUNT_FIVE_TIMES) {
      printOverloadComparison();
    }
  }

  private void printSummary() {
    out.println(
        "| policy | good/s | good/s at the peak | wasted prefill | worst account"
            + " | refused inside rate"
            + " | by limit | for capacity | gave up | failed | late first | slow tokens"
            + " | retries | over-grant tokens | held at end |");
    out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    statistics.forEach(
        (policy, runStatistics) ->
            out.printf(
                Locale.ROOT,
                "| %s | %.3f | %.3f | %.2f%%%s | %.3f | %d of %d | %d | %d | %d | %d | %d | %d | %d"
                    + " | %.0f | %d |%n",
                policy.displayName(),
                runStatistics.goodput(),
                runStatistics.peakGoodput(),
                100 * runStatistics.outcomes().wastedShare(),
                formatWasteCauses(runStatistics.outcomes()),
                runStatistics.lowestGoodShare(),
                runStatistics.refusedWithinRate(),
                runStatistics.withinRate(),
                runStatistics.refusedWithinRate(OutcomeStatus.REFUSED_OVER_RATE),
                runStatistics.refusedWithinRate(OutcomeStatus.REFUSED_CAPACITY),
                runStatistics.countWithStatus(OutcomeStatus.GAVE_UP),
                runStatistics.countWithStatus(OutcomeStatus.FAILED),
                runStatistics.countWithStatus(OutcomeStatus.LATE_FIRST_TOKEN),
                runStatistics.countWithStatus(OutcomeStatus.SLOW_TOKENS),
                runStatistics.outcomes().retries(),
                runStatistics.outcomes().overGrantTokens(),
                runStatistics.outcomes().heldAtEnd()));
    out.println();
  }

  private static String formatWasteCauses(OutcomeRecorder outcomes) {
    StringBuilder text = new StringBuilder();
    for (WasteCause cause : WasteCause.values()) {
      if (outcomes.wastedTokens(cause) > 0) {
        String causeName = cause.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        text.append(text.isEmpty() ? "" : ", ");
        text.append(causeName).append(' ').append(outcomes.wastedTokens(cause));
      }
    }
    return text.isEmpty() ? "" : " (" + text + ")";
  }

  private void printServices() {
    out.println(
        "| policy | service | requests | good | good of admitted | first token p95 ms"
            + " | gap p95 ms | refused | refused inside rate |");
    out.println("|---|---|---|---|---|---|---|---|---|");
    statistics.forEach(
        (policy, runStatistics) ->
            runStatistics
                .outcomesByService()
                .forEach((service, list) -> printService(policy, service, list)));
    out.println();
  }

  private void printService(
      MeasuredPolicy policy, ServiceId service, List<OutcomeRecorder.Outcome> outcomes) {
    out.printf(
        Locale.ROOT,
        "| %s | %s | %d | %d | %.4f | %.0f | %.1f | %d | %d |%n",
        policy.displayName(),
        service,
        outcomes.size(),
        outcomes.stream().filter(outcome -> outcome.status() == OutcomeStatus.GOOD).count(),
        RunStatistics.goodShareOfAdmitted(outcomes),
        RunStatistics.firstTokenP95Millis(outcomes),
        RunStatistics.tokenGapP95Millis(outcomes),
        outcomes.stream().filter(outcome -> outcome.status().isRefused()).count(),
        outcomes.stream()
            .filter(outcome -> outcome.status().isRefused() && outcome.arrival().withinRate())
            .count());
  }

  private void printAccounts() {
    List<AccountId> accounts = List.copyOf(scenario.fleet().trafficTenths().keySet());
    out.println(
        accounts.stream()
            .map(account -> " " + account + " |")
            .collect(Collectors.joining("", "| good share inside rate |", "")));
    out.println("|---|" + "---|".repeat(accounts.size()));
    statistics.forEach(
        (policy, runStatistics) ->
            out.println(
                accounts.stream()
                    .map(account -> formatGoodShare(runStatistics, account))
                    .collect(Collectors.joining("", "| " + policy.displayName() + " |", ""))));
    out.println();
  }

  private static String formatGoodShare(RunStatistics policyStatistics, AccountId account) {
    return String.format(
        Locale.ROOT, " %.4f |", policyStatistics.goodShareByAccount().getOrDefault(account, 0.0));
  }

  /** Compares the other accounts with a run in which no account exceeds its rate. */
  private void printOverloadComparison() {
    RunStatistics withoutOverload = MeasuredPolicy.CURRENT.run(scenario, seed, false);
    RunStatistics withOverload = statistics.get(MeasuredPolicy.CURRENT);
    double leastRatio = 1;
    for (Map.Entry<AccountId, Double> entry : withoutOverload.goodShareByAccount().entrySet()) {
      boolean isOverloading = entry.getKey().value().equals("account-2");
      if (!isOverloading && entry.getValue() > 0) {
        leastRatio =
            Math.min(
                leastRatio,
                withOverload.goodShareByAccount().get(entry.getKey()) / entry.getValue());
      }
    }
    out.printf(
        Locale.ROOT,
        "Worst-served other account, against the run without the surplus: %.4f%n%n",
        leastRatio);
  }
}
