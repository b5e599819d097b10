package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.quota.FleetQuotaLimiter;
import org.knapweedcleat.core.quota.QuotaTolerance;

/** One account asks for many times its rate at all instances, beside one that keeps to its own. */
class AccountOverItsRateTest {

  private static final int INSTANCES = 8;
  private static final long TOLD_MILLIS = 200;
  private static final long LENGTH_MILLIS = 60_000;
  private static final long CALL_UNITS = 1_000;
  private static final long RATE = 20_000;
  private static final long BURST = 20_000;

  /** What operators allow the fleet to exceed a quota by. */
  private static final double OVERAGE = 0.25;

  private static final long SLACK_UNITS = 40_000;

  private final Random random = new Random(20261204);
  private final List<FleetQuotaLimiter> instances = new ArrayList<>();
  private final Map<String, Long> spent = new HashMap<>();
  private final Map<String, Integer> refused = new HashMap<>();

  @Test
  void oneIsHeldToItsRateAndTheOtherIsNotRefused() {
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(FleetQuotaLimiter.of(QuotaTolerance.of(OVERAGE, SLACK_UNITS)));
    }
    for (long nowMillis = 0; nowMillis < LENGTH_MILLIS; nowMillis += 5) {
      if (nowMillis % TOLD_MILLIS == 0) {
        tell(nowMillis);
      }
      call(nowMillis, "greedy");
      if (nowMillis % 100 == 0) {
        call(nowMillis, "modest");
      }
    }

    double earned = BURST + RATE * LENGTH_MILLIS / 1_000.0;
    assertThat((double) spent.get("greedy"), lessThan(earned * (1 + OVERAGE) + SLACK_UNITS));
    assertThat((double) spent.get("greedy"), greaterThan(earned));
    assertThat(refused.getOrDefault("modest", 0), is(0));
  }

  private void call(long nowMillis, String account) {
    AccountQuota quota = quota(account);
    FleetQuotaLimiter instance = instances.get(random.nextInt(INSTANCES));
    if (instance.acquire(nowMillis, quota, CALL_UNITS) == 0) {
      spent.merge(account, CALL_UNITS, Long::sum);
    } else {
      refused.merge(account, 1, Integer::sum);
    }
  }

  private void tell(long nowMillis) {
    for (int from = 0; from < INSTANCES; from++) {
      for (int to = 0; to < INSTANCES; to++) {
        if (from != to) {
          instances.get(to).recordRemoteSpending(nowMillis, "i" + from, true, instances.get(from).localSpending());
        }
      }
    }
  }

  private static AccountQuota quota(String account) {
    return new AccountQuota(
        AccountId.of(account), Set.of(), AccountQuota.ROUTE_PRIORITY, RATE, BURST, CALL_UNITS);
  }
}
