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

/**
 * Guards against an account that sends many times its rate through all instances: it may exceed its
 * quota only by the tolerance, and an account within its rate must not be refused.
 */
class AccountOverQuotaTest {

  private static final int INSTANCES = 8;
  private static final long GOSSIP_INTERVAL_MILLIS = 200;
  private static final long DURATION_MILLIS = 60_000;
  private static final long CALL_UNITS = 1_000;
  private static final long RATE_UNITS_PER_SECOND = 20_000;
  private static final long BURST_UNITS = 20_000;

  /** The fraction of a quota by which operators allow the fleet to exceed it. */
  private static final double MAX_OVERAGE_FRACTION = 0.25;

  private static final long SLACK_UNITS = 40_000;

  private final Random random = new Random(20261204);
  private final List<FleetQuotaLimiter> instances = new ArrayList<>();
  private final Map<String, Long> grantedUnits = new HashMap<>();
  private final Map<String, Integer> refusedCalls = new HashMap<>();

  @Test
  void limitsOverloadingAccountWithoutRefusingOther() {
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(FleetQuotaLimiter.of(QuotaTolerance.of(MAX_OVERAGE_FRACTION, SLACK_UNITS)));
    }
    for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += 5) {
      if (nowMillis % GOSSIP_INTERVAL_MILLIS == 0) {
        exchangeSpending(nowMillis);
      }
      call(nowMillis, "greedy");
      if (nowMillis % 100 == 0) {
        call(nowMillis, "modest");
      }
    }

    double allowedUnits = BURST_UNITS + RATE_UNITS_PER_SECOND * DURATION_MILLIS / 1_000.0;
    assertThat(
        (double) grantedUnits.get("greedy"),
        lessThan(allowedUnits * (1 + MAX_OVERAGE_FRACTION) + SLACK_UNITS));
    assertThat((double) grantedUnits.get("greedy"), greaterThan(allowedUnits));
    assertThat(refusedCalls.getOrDefault("modest", 0), is(0));
  }

  private void call(long nowMillis, String account) {
    AccountQuota quota = quota(account);
    FleetQuotaLimiter instance = instances.get(random.nextInt(INSTANCES));
    if (instance.acquire(nowMillis, quota, CALL_UNITS) == 0) {
      grantedUnits.merge(account, CALL_UNITS, Long::sum);
    } else {
      refusedCalls.merge(account, 1, Integer::sum);
    }
  }

  private void exchangeSpending(long nowMillis) {
    for (int from = 0; from < INSTANCES; from++) {
      for (int to = 0; to < INSTANCES; to++) {
        if (from != to) {
          instances
              .get(to)
              .recordRemoteSpending(
                  nowMillis, "i" + from, true, instances.get(from).localSpending());
        }
      }
    }
  }

  private static AccountQuota quota(String account) {
    return new AccountQuota(
        AccountId.of(account),
        Set.of(),
        AccountQuota.ROUTE_PRIORITY,
        RATE_UNITS_PER_SECOND,
        BURST_UNITS,
        CALL_UNITS,
        Set.of());
  }
}
