package org.knapweedcleat.bench;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.ServiceId;

/** Prints the figures of a scenario as tables. */
final class Report {

  private final PrintStream out;
  private final Scenario scenario;
  private final long seed;
  private final Map<Contender, Figures> figures = new EnumMap<>(Contender.class);

  private Report(PrintStream out, Scenario scenario, long seed) {
    this.out = out;
    this.scenario = scenario;
    this.seed = seed;
  }

  static void print(PrintStream out, Scenario scenario, long seed) {
    Report report = new Report(out, scenario, seed);
    for (Contender contender : Contender.values()) {
      boolean greedy = scenario == Scenario.ONE_ACCOUNT_FIVE_TIMES;
      report.figures.put(contender, contender.measure(scenario, seed, greedy));
    }
    report.print();
  }

  private void print() {
    out.printf(Locale.ROOT, "## %s, seed %d%n%n", scenario.title(), seed);
    printMeasures();
    printServices();
    printAccounts();
    if (scenario == Scenario.ONE_ACCOUNT_FIVE_TIMES) {
      printWithoutGreed();
    }
  }

  private void printMeasures() {
    out.println(
        "| policy | good/s | good/s at the peak | wasted prefill | worst account"
            + " | refused inside rate"
            + " | by limit | for capacity | gave up | failed | late first | slow tokens"
            + " | retries | over-grant tokens | held at end |");
    out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    figures.forEach(
        (contender, figure) ->
            out.printf(
                Locale.ROOT,
                "| %s | %.3f | %.3f | %.2f%%%s | %.3f | %d of %d | %d | %d | %d | %d | %d | %d | %d"
                    + " | %.0f | %d |%n",
                contender.title(),
                figure.goodput(),
                figure.peakGoodput(),
                100 * figure.outcomes().wastedShare(),
                causes(figure.outcomes()),
                figure.worstGoodShare(),
                figure.refusedInsideRate(),
                figure.insideRate(),
                figure.refusedInsideRate(Verdict.REFUSED_OVER_RATE),
                figure.refusedInsideRate(Verdict.REFUSED_CAPACITY),
                figure.count(Verdict.GAVE_UP),
                figure.count(Verdict.FAILED),
                figure.count(Verdict.LATE_FIRST_TOKEN),
                figure.count(Verdict.SLOW_TOKENS),
                figure.outcomes().retries(),
                figure.outcomes().overGrantTokens(),
                figure.outcomes().heldAtEnd()));
    out.println();
  }

  private static String causes(Outcomes outcomes) {
    StringBuilder text = new StringBuilder();
    for (WasteCause cause : WasteCause.values()) {
      if (outcomes.wastedBy(cause) > 0) {
        String name = cause.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        text.append(text.isEmpty() ? "" : ", ");
        text.append(name).append(' ').append(outcomes.wastedBy(cause));
      }
    }
    return text.isEmpty() ? "" : " (" + text + ")";
  }

  private void printServices() {
    out.println(
        "| policy | service | requests | good | good of admitted | first token p95 ms"
            + " | gap p95 ms | refused | refused inside rate |");
    out.println("|---|---|---|---|---|---|---|---|---|");
    figures.forEach(
        (contender, figure) ->
            figure.byService().forEach((service, list) -> printService(contender, service, list)));
    out.println();
  }

  private void printService(Contender contender, ServiceId service, List<Outcomes.Outcome> list) {
    out.printf(
        Locale.ROOT,
        "| %s | %s | %d | %d | %.4f | %.0f | %.1f | %d | %d |%n",
        contender.title(),
        service,
        list.size(),
        list.stream().filter(outcome -> outcome.verdict() == Verdict.GOOD).count(),
        Figures.goodShareOfAdmitted(list),
        Figures.highFirstTokenMillis(list),
        Figures.highGapMillis(list),
        list.stream().filter(outcome -> outcome.verdict().isRefused()).count(),
        list.stream()
            .filter(outcome -> outcome.verdict().isRefused() && outcome.arrival().insideRate())
            .count());
  }

  private void printAccounts() {
    List<AccountId> accounts = List.copyOf(scenario.fleet().accountShares().keySet());
    out.println(
        accounts.stream()
            .map(account -> " " + account + " |")
            .collect(Collectors.joining("", "| good share inside rate |", "")));
    out.println("|---|" + "---|".repeat(accounts.size()));
    figures.forEach(
        (contender, figure) ->
            out.println(
                accounts.stream()
                    .map(account -> share(figure, account))
                    .collect(Collectors.joining("", "| " + contender.title() + " |", ""))));
    out.println();
  }

  private static String share(Figures figure, AccountId account) {
    return String.format(Locale.ROOT, " %.4f |", figure.goodShares().getOrDefault(account, 0.0));
  }

  /** Compares each account with a run in which no account sends more than its rate. */
  private void printWithoutGreed() {
    Figures without = Contender.CURRENT.measure(scenario, seed, false);
    Figures with = figures.get(Contender.CURRENT);
    double least = 1;
    for (Map.Entry<AccountId, Double> entry : without.goodShares().entrySet()) {
      boolean isGreedy = entry.getKey().value().equals("account-2");
      if (!isGreedy && entry.getValue() > 0) {
        least = Math.min(least, with.goodShares().get(entry.getKey()) / entry.getValue());
      }
    }
    out.printf(
        Locale.ROOT,
        "Worst-served other account, against the run without the surplus: %.4f%n%n",
        least);
  }
}
