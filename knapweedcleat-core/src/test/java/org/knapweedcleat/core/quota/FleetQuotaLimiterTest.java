package org.knapweedcleat.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.id.AccountId;

class FleetQuotaLimiterTest {

  private static final int RATE = 50_000;
  private static final int BURST = 50_000;
  private static final int CALL_UNITS = 5_000;
  private static final int INSTANCES = 9;
  private static final int REPORT_INTERVAL_MILLIS = 200;
  private static final int WINDOW_MILLIS = 8_000;
  private static final double OVERAGE = 1.25;
  private static final int EXTRA_UNITS = 140_000;
  private static final int ISOLATED_INSTANCES = 3;
  private static final int PARTITION_MILLIS = 5_000;

  private final AccountQuota quota =
      new AccountQuota(
          AccountId.of("large"),
          Set.of(),
          AccountQuota.ROUTE_PRIORITY,
          RATE,
          BURST,
          CALL_UNITS,
          Set.of());

  @Test
  void burstIsAvailableInitially() {
    FleetQuotaLimiter limiter = FleetQuotaLimiter.of(QuotaTolerance.NONE);

    assertThat(limiter.acquire(0, quota, BURST), is(0L));
    assertThat(limiter.acquire(0, quota, CALL_UNITS), is(100L));
    assertThat(limiter.acquire(100, quota, CALL_UNITS), is(0L));
  }

  @Test
  void remoteSpendingCountsOnce() {
    FleetQuotaLimiter limiter = FleetQuotaLimiter.of(QuotaTolerance.NONE);
    limiter.acquire(0, quota, CALL_UNITS);
    limiter.recordRemoteSpending(0, "other~1", true, Map.of(quota.account(), 45_000L));
    limiter.recordRemoteSpending(0, "other~1", true, Map.of(quota.account(), 45_000L));

    assertThat(limiter.acquire(0, quota, CALL_UNITS), greaterThan(0L));
    assertThat(limiter.acquire(200, quota, CALL_UNITS), is(0L));
  }

  @Test
  void remoteSpendingBeforeLocalStartDoesNotCount() {
    FleetQuotaLimiter limiter = FleetQuotaLimiter.of(QuotaTolerance.NONE);
    limiter.recordRemoteSpending(0, "older~1", false, Map.of(quota.account(), 9_000_000L));
    assertThat(limiter.acquire(0, quota, CALL_UNITS), is(0L));

    limiter.recordRemoteSpending(0, "older~1", false, Map.of(quota.account(), 9_045_000L));
    assertThat(limiter.acquire(0, quota, CALL_UNITS), greaterThan(0L));
  }

  @Test
  void remoteSpendingBeforeFirstLocalCallCounts() {
    FleetQuotaLimiter limiter = FleetQuotaLimiter.of(QuotaTolerance.NONE);
    limiter.recordRemoteSpending(0, "other~1", true, Map.of(quota.account(), (long) BURST));

    assertThat(limiter.acquire(0, quota, CALL_UNITS), is(100L));
    assertThat(limiter.acquire(1_000, quota, BURST), is(0L));
  }

  @Test
  void callThatDidNotRunIsRefunded() {
    FleetQuotaLimiter limiter = FleetQuotaLimiter.of(QuotaTolerance.NONE);
    limiter.acquire(0, quota, BURST);
    limiter.refund(quota, BURST);

    assertThat(limiter.acquire(0, quota, BURST), is(0L));
    assertThat(limiter.localSpending(), is(Map.of(quota.account(), (long) BURST)));
  }

  @Test
  void bothSidesOfPartitionTogetherKeepToRate() {
    FleetQuotaLimiter one = FleetQuotaLimiter.of(QuotaTolerance.NONE);
    FleetQuotaLimiter other = FleetQuotaLimiter.of(QuotaTolerance.NONE);
    one.updateVisibility(4, INSTANCES);
    other.updateVisibility(5, INSTANCES);
    one.acquire(0, quota, BURST);
    other.acquire(0, quota, BURST);

    long spent = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      spent += one.acquire(millis, quota, 100) == 0 ? 100 : 0;
      spent += other.acquire(millis, quota, 100) == 0 ? 100 : 0;
    }
    assertThat(spent, lessThanOrEqualTo(10L * RATE));
  }

  @Test
  void callLargerThanBurstIsServedFromFullBucket() {
    FleetQuotaLimiter limiter = FleetQuotaLimiter.of(QuotaTolerance.NONE);

    assertThat(limiter.acquire(0, quota, 2 * BURST), is(0L));
    assertThat(limiter.acquire(0, quota, 1), greaterThan(0L));
  }

  /**
   * An account sends many times its rate to random instances, whose reports are delayed. All
   * instances restart once, and some are partitioned from the rest for a time.
   */
  @Property(seed = "20261204", tries = 200)
  void fleetKeepsToQuotaUnderOverload(@ForAll long seed) {
    Random random = new Random(seed);
    List<FleetQuotaLimiter> fleet = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      fleet.add(FleetQuotaLimiter.of(QuotaTolerance.of(OVERAGE - 1, EXTRA_UNITS)));
    }
    long[] spentAt = new long[20_000];
    int restartAt = random.nextInt(spentAt.length);
    int partitionAt = random.nextInt(spentAt.length);
    for (int now = 0; now < spentAt.length; now++) {
      if (now == restartAt) {
        fleet.replaceAll(one -> FleetQuotaLimiter.of(QuotaTolerance.of(OVERAGE - 1, EXTRA_UNITS)));
      }
      boolean partitioned = now >= partitionAt && now < partitionAt + PARTITION_MILLIS;
      FleetQuotaLimiter chosen = fleet.get(random.nextInt(INSTANCES));
      if (random.nextInt(13) == 0 && chosen.acquire(now, quota, CALL_UNITS) == 0) {
        spentAt[now] = CALL_UNITS;
      }
      reportSpending(fleet, now, partitioned ? ISOLATED_INSTANCES : 0);
    }
    assertQuotaKept(spentAt);
  }

  /** Exchanges reports while the first instances are partitioned from the rest. */
  private static void reportSpending(List<FleetQuotaLimiter> fleet, int now, int isolated) {
    int reporter = now % REPORT_INTERVAL_MILLIS;
    if (reporter < INSTANCES) {
      int visible = reporter < isolated ? isolated : INSTANCES - isolated;
      fleet.get(reporter).updateVisibility(visible, INSTANCES);
      for (int i = 0; i < INSTANCES; i++) {
        if (i != reporter && (i < isolated) == (reporter < isolated)) {
          fleet
              .get(i)
              .recordRemoteSpending(
                  now, "run-" + reporter, true, fleet.get(reporter).localSpending());
        }
      }
    }
  }

  private static void assertQuotaKept(long[] spentAt) {
    double allowed = (RATE * WINDOW_MILLIS / 1000.0 + BURST) * OVERAGE + EXTRA_UNITS;
    long inWindow = 0;
    for (int now = 0; now < spentAt.length; now++) {
      inWindow += spentAt[now];
      if (now >= WINDOW_MILLIS) {
        inWindow -= spentAt[now - WINDOW_MILLIS];
      }
      assertThat((double) inWindow, lessThan(allowed));
    }
  }
}
