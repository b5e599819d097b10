package org.knapweedcleat.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.TeamId;
import org.knapweedcleat.core.limit.LimitAction;

/** Measures the limits alone, with and without faults, and prints the figures as tables. */
final class LimitReport {

  private static final long SECOND = 1_000_000;
  private static final long FIRST_MICROS = 40 * SECOND;
  private static final long COUNT_MICROS = 60 * SECOND;
  private static final long END_MICROS = 180 * SECOND;
  private static final long ANSWER_MICROS = 2 * SECOND;
  private static final int INSTANCES = 9;
  private static final int EACH = 3;
  private static final int PAUSED = 0;
  private static final int KILLED = 4;
  private static final long BURST_SECONDS = 20;
  private static final List<Integer> RATES = List.of(40_000, 30_000, 10_000, 10_000, 10_000);

  private final LimitPolicy policy;
  private final EventQueue queue = EventQueue.create();
  private final Map<AccountId, LimitTally> tallies = new LinkedHashMap<>();
  private final Map<String, TokenBucket> parts = new HashMap<>();
  private final LimitFleet fleet;
  private boolean avoidsPaused;

  private LimitReport(LimitPolicy policy, long seed) {
    this.policy = policy;
    for (AccountSpec account : accounts()) {
      tallies.put(account.id(), LimitTally.of(account, COUNT_MICROS));
    }
    this.fleet = LimitFleet.of(queue, seed, accounts(), tallies);
  }

  static void print(PrintStream out, long seed) {
    List<LimitArrival> arrivals = LimitArrival.draw(seed, accounts(), FIRST_MICROS, END_MICROS);
    for (boolean faults : new boolean[] {false, true}) {
      String title = faults ? "limits, faults" : "limits, no faults";
      out.printf(Locale.ROOT, "## %s, seed %d%n%n", title, seed);
      out.println(
          "| policy | account | requests | granted | refused | unanswered"
              + " | wrongful refusals | refused inside rate"
              + " | tokens granted | tokens inside rate | over-grant tokens |");
      out.println("|---|---|---|---|---|---|---|---|---|---|---|");
      for (LimitPolicy policy : LimitPolicy.values()) {
        LimitReport report = new LimitReport(policy, seed);
        report.run(arrivals, faults);
        report.tallies.forEach(
            (account, tally) ->
                out.printf("| %s | %s | %s |%n", policy.title(), account, tally.row()));
      }
      out.println();
    }
  }

  private static List<AccountSpec> accounts() {
    List<AccountSpec> accounts = new ArrayList<>();
    for (int rate : RATES) {
      AccountId id = AccountId.of("account-" + (accounts.size() + 1));
      accounts.add(new AccountSpec(id, rate, rate * BURST_SECONDS, 1, Map.of(), TeamId.of("team")));
    }
    return accounts;
  }

  private void run(List<LimitArrival> arrivals, boolean faults) {
    arrivals.forEach(arrival -> queue.at(arrival.atMicros(), () -> arrive(arrival)));
    if (faults) {
      queue.at(80 * SECOND, () -> fleet.node(PAUSED).pause());
      queue.at(83 * SECOND, () -> avoidsPaused = true);
      queue.at(90 * SECOND, () -> fleet.node(PAUSED).wake());
      queue.at(120 * SECOND, () -> fleet.node(KILLED).end());
      queue.at(125 * SECOND, () -> restart(KILLED));
    }
    queue.runUntil(END_MICROS + ANSWER_MICROS);
  }

  private void restart(int index) {
    fleet.start(index);
    parts.keySet().removeIf(part -> part.startsWith(index + "/"));
  }

  private void arrive(LimitArrival arrival) {
    int index = balanced(arrival.instance());
    LimitNode node = fleet.node(index);
    node.handle(() -> take(arrival, index, node));
  }

  /** The balancer avoids an instance that has not answered for 3 s or does not run. */
  private int balanced(int index) {
    LimitNode node = fleet.node(index);
    boolean avoided = node.isPaused() && avoidsPaused;
    if (!node.isOver() && !avoided) {
      return index;
    }
    return index / EACH * EACH + (index + 1) % EACH;
  }

  private void take(LimitArrival arrival, int index, LimitNode node) {
    LimitTally tally = tallies.get(arrival.account().id());
    final LimitTally.Expected expected = tally.arrived(queue.nowMicros(), arrival);
    switch (policy) {
      case FIXED_PARTS -> takeFixed(arrival, index, tally, expected);
      case SHARES ->
          node.acquire(
              arrival.account().id(),
              arrival.tokens(),
              outcome -> answered(arrival, tally, expected, outcome));
      default ->
          node.acquireAnywhere(
              arrival.account().id(),
              arrival.tokens(),
              outcome -> answered(arrival, tally, expected, outcome));
    }
  }

  private void takeFixed(
      LimitArrival arrival, int index, LimitTally tally, LimitTally.Expected expected) {
    AccountSpec account = arrival.account();
    TokenBucket part =
        parts.computeIfAbsent(
            index + "/" + account.id(),
            key ->
                TokenBucket.of(
                    (double) account.rateTokensPerSecond() / INSTANCES,
                    (double) account.burstTokens() / INSTANCES));
    if (part.take(queue.nowMicros(), arrival.tokens())) {
      tally.charged(queue.nowMicros(), arrival.tokens());
      tally.granted(arrival);
    } else {
      tally.refused(queue.nowMicros(), arrival, expected);
    }
  }

  private void answered(
      LimitArrival arrival, LimitTally tally, LimitTally.Expected expected, LimitAction outcome) {
    if (outcome instanceof LimitAction.Denied) {
      tally.refused(queue.nowMicros(), arrival, expected);
    } else {
      tally.granted(arrival);
    }
  }
}
