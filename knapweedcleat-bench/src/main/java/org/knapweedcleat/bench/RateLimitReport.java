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

/** Simulates rate limiting alone, with and without faults, and prints the results as tables. */
final class RateLimitReport {

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long FIRST_ARRIVAL_MICROS = 40 * MICROS_PER_SECOND;
  private static final long COUNT_FROM_MICROS = 60 * MICROS_PER_SECOND;
  private static final long LAST_ARRIVAL_MICROS = 180 * MICROS_PER_SECOND;
  private static final long ANSWER_WAIT_MICROS = 2 * MICROS_PER_SECOND;
  private static final int INSTANCES = 9;
  private static final int INSTANCES_PER_DOMAIN = 3;
  private static final int PAUSED_INSTANCE = 0;
  private static final int KILLED_INSTANCE = 4;
  private static final long BURST_SECONDS = 20;
  private static final List<Integer> RATES_TOKENS_PER_SECOND =
      List.of(40_000, 30_000, 10_000, 10_000, 10_000);

  private final RateLimitPolicy policy;
  private final EventQueue events = EventQueue.create();
  private final Map<AccountId, RateLimitStatistics> statisticsByAccount = new LinkedHashMap<>();
  private final Map<String, TokenBucket> fixedShareBuckets = new HashMap<>();
  private final RateLimitFleet fleet;
  private boolean pauseDetected;

  private RateLimitReport(RateLimitPolicy policy, long seed) {
    this.policy = policy;
    for (AccountSpec account : accounts()) {
      statisticsByAccount.put(account.id(), RateLimitStatistics.of(account, COUNT_FROM_MICROS));
    }
    this.fleet = RateLimitFleet.of(events, seed, accounts(), statisticsByAccount);
  }

  static void print(PrintStream out, long seed) {
    List<RateLimitArrival> arrivals =
        RateLimitArrival.generate(seed, accounts(), FIRST_ARRIVAL_MICROS, LAST_ARRIVAL_MICROS);
    for (boolean faults : new boolean[] {false, true}) {
      String title = faults ? "limits, faults" : "limits, no faults";
      out.printf(Locale.ROOT, "## %s, seed %d%n%n", title, seed);
      out.println(
          "| policy | account | requests | granted | refused | unanswered"
              + " | wrongful refusals | refused inside rate"
              + " | tokens granted | tokens inside rate | over-grant tokens |");
      out.println("|---|---|---|---|---|---|---|---|---|---|---|");
      for (RateLimitPolicy policy : RateLimitPolicy.values()) {
        RateLimitReport report = new RateLimitReport(policy, seed);
        report.run(arrivals, faults);
        report.statisticsByAccount.forEach(
            (account, statistics) ->
                out.printf(
                    "| %s | %s | %s |%n", policy.displayName(), account, statistics.formatRow()));
      }
      out.println();
    }
  }

  private static List<AccountSpec> accounts() {
    List<AccountSpec> accounts = new ArrayList<>();
    for (int rate : RATES_TOKENS_PER_SECOND) {
      AccountId id = AccountId.of("account-" + (accounts.size() + 1));
      accounts.add(new AccountSpec(id, rate, rate * BURST_SECONDS, 1, Map.of(), TeamId.of("team")));
    }
    return accounts;
  }

  private void run(List<RateLimitArrival> arrivals, boolean faults) {
    arrivals.forEach(arrival -> events.scheduleAt(arrival.atMicros(), () -> onArrival(arrival)));
    if (faults) {
      events.scheduleAt(80 * MICROS_PER_SECOND, () -> fleet.instance(PAUSED_INSTANCE).pause());
      events.scheduleAt(83 * MICROS_PER_SECOND, () -> pauseDetected = true);
      events.scheduleAt(90 * MICROS_PER_SECOND, () -> fleet.instance(PAUSED_INSTANCE).resume());
      events.scheduleAt(120 * MICROS_PER_SECOND, () -> fleet.instance(KILLED_INSTANCE).end());
      events.scheduleAt(125 * MICROS_PER_SECOND, () -> restart(KILLED_INSTANCE));
    }
    events.runUntil(LAST_ARRIVAL_MICROS + ANSWER_WAIT_MICROS);
  }

  private void restart(int index) {
    fleet.start(index);
    fixedShareBuckets.keySet().removeIf(key -> key.startsWith(index + "/"));
  }

  private void onArrival(RateLimitArrival arrival) {
    int index = selectInstance(arrival.instanceIndex());
    RateLimitInstance instance = fleet.instance(index);
    instance.handle(() -> acquire(arrival, index, instance));
  }

  /** Skips instances that do not run or whose pause was detected, which takes 3 s. */
  private int selectInstance(int index) {
    RateLimitInstance instance = fleet.instance(index);
    boolean avoided = instance.isPaused() && pauseDetected;
    if (!instance.isEnded() && !avoided) {
      return index;
    }
    return index / INSTANCES_PER_DOMAIN * INSTANCES_PER_DOMAIN + (index + 1) % INSTANCES_PER_DOMAIN;
  }

  private void acquire(RateLimitArrival arrival, int index, RateLimitInstance instance) {
    RateLimitStatistics statistics = statisticsByAccount.get(arrival.account().id());
    final RateLimitStatistics.ReferenceDecision reference =
        statistics.recordArrival(events.nowMicros(), arrival);
    switch (policy) {
      case FIXED_PARTS -> acquireFromFixedShare(arrival, index, statistics, reference);
      case SHARES ->
          instance.acquire(
              arrival.account().id(),
              arrival.tokens(),
              outcome -> recordOutcome(arrival, statistics, reference, outcome));
      default ->
          instance.acquireAnywhere(
              arrival.account().id(),
              arrival.tokens(),
              outcome -> recordOutcome(arrival, statistics, reference, outcome));
    }
  }

  private void acquireFromFixedShare(
      RateLimitArrival arrival,
      int index,
      RateLimitStatistics statistics,
      RateLimitStatistics.ReferenceDecision reference) {
    AccountSpec account = arrival.account();
    TokenBucket bucket =
        fixedShareBuckets.computeIfAbsent(
            index + "/" + account.id(),
            key ->
                TokenBucket.of(
                    (double) account.rateTokensPerSecond() / INSTANCES,
                    (double) account.burstTokens() / INSTANCES));
    if (bucket.tryTake(events.nowMicros(), arrival.tokens())) {
      statistics.recordCharge(events.nowMicros(), arrival.tokens());
      statistics.recordGrant(arrival);
    } else {
      statistics.recordRefusal(events.nowMicros(), arrival, reference);
    }
  }

  private void recordOutcome(
      RateLimitArrival arrival,
      RateLimitStatistics statistics,
      RateLimitStatistics.ReferenceDecision reference,
      LimitAction outcome) {
    if (outcome instanceof LimitAction.Denied) {
      statistics.recordRefusal(events.nowMicros(), arrival, reference);
    } else {
      statistics.recordGrant(arrival);
    }
  }
}
