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

class FleetQuotaTest {

  private static final int RATE = 50_000;
  private static final int BURST = 50_000;
  private static final int CALL_UNITS = 5_000;
  private static final int INSTANCES = 9;
  private static final int TOLD_MILLIS = 200;
  private static final int WINDOW_MILLIS = 8_000;
  private static final double OVERAGE = 1.25;
  private static final int SLACK = 140_000;
  private static final int CUT_OFF = 3;
  private static final int CUT_MILLIS = 5_000;

  private final AccountQuota quota =
      new AccountQuota(
          AccountId.of("large"), Set.of(), AccountQuota.NO_RANK, RATE, BURST, CALL_UNITS);

  @Test
  void burstIsThereAtFirst() {
    FleetQuota keeper = FleetQuota.of(QuotaTolerance.NONE);

    assertThat(keeper.take(0, quota, BURST), is(0L));
    assertThat(keeper.take(0, quota, CALL_UNITS), is(100L));
    assertThat(keeper.take(100, quota, CALL_UNITS), is(0L));
  }

  @Test
  void spendingOfOthersCountsOnce() {
    FleetQuota keeper = FleetQuota.of(QuotaTolerance.NONE);
    keeper.take(0, quota, CALL_UNITS);
    keeper.heard(0, "other~1", true, Map.of(quota.account(), 45_000L));
    keeper.heard(0, "other~1", true, Map.of(quota.account(), 45_000L));

    assertThat(keeper.take(0, quota, CALL_UNITS), greaterThan(0L));
    assertThat(keeper.take(200, quota, CALL_UNITS), is(0L));
  }

  @Test
  void whatOthersSpentBeforeOwnStartDoesNotCount() {
    FleetQuota keeper = FleetQuota.of(QuotaTolerance.NONE);
    keeper.heard(0, "older~1", false, Map.of(quota.account(), 9_000_000L));
    assertThat(keeper.take(0, quota, CALL_UNITS), is(0L));

    keeper.heard(0, "older~1", false, Map.of(quota.account(), 9_045_000L));
    assertThat(keeper.take(0, quota, CALL_UNITS), greaterThan(0L));
  }

  @Test
  void whatOthersSpentBeforeFirstOwnCallCounts() {
    FleetQuota keeper = FleetQuota.of(QuotaTolerance.NONE);
    keeper.heard(0, "other~1", true, Map.of(quota.account(), (long) BURST));

    assertThat(keeper.take(0, quota, CALL_UNITS), is(100L));
    assertThat(keeper.take(1_000, quota, BURST), is(0L));
  }

  @Test
  void whatDidNotRunIsGivenBack() {
    FleetQuota keeper = FleetQuota.of(QuotaTolerance.NONE);
    keeper.take(0, quota, BURST);
    keeper.giveBack(quota, BURST);

    assertThat(keeper.take(0, quota, BURST), is(0L));
    assertThat(keeper.spent(), is(Map.of(quota.account(), (long) BURST)));
  }

  @Test
  void bothSidesOfCutTogetherKeepToRate() {
    FleetQuota one = FleetQuota.of(QuotaTolerance.NONE);
    FleetQuota other = FleetQuota.of(QuotaTolerance.NONE);
    one.fleet(4, INSTANCES);
    other.fleet(5, INSTANCES);
    one.take(0, quota, BURST);
    other.take(0, quota, BURST);

    long spent = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      spent += one.take(millis, quota, 100) == 0 ? 100 : 0;
      spent += other.take(millis, quota, 100) == 0 ? 100 : 0;
    }
    assertThat(spent, lessThanOrEqualTo(10L * RATE));
  }

  @Test
  void callOfLargerSizeThanBurstIsServedFromFullBucket() {
    FleetQuota keeper = FleetQuota.of(QuotaTolerance.NONE);

    assertThat(keeper.take(0, quota, 2 * BURST), is(0L));
    assertThat(keeper.take(0, quota, 1), greaterThan(0L));
  }

  /**
   * An account sends many times its rate at random instances, which tell each other late; all are
   * restarted once, and some are cut off for a time.
   */
  @Property(seed = "20261204", tries = 200)
  void fleetKeepsToQuotaAtManyTimesTheRate(@ForAll long seed) {
    Random random = new Random(seed);
    List<FleetQuota> fleet = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      fleet.add(FleetQuota.of(QuotaTolerance.of(OVERAGE - 1, SLACK)));
    }
    long[] spentAt = new long[20_000];
    int restartAt = random.nextInt(spentAt.length);
    int cutFrom = random.nextInt(spentAt.length);
    for (int now = 0; now < spentAt.length; now++) {
      if (now == restartAt) {
        fleet.replaceAll(one -> FleetQuota.of(QuotaTolerance.of(OVERAGE - 1, SLACK)));
      }
      boolean cut = now >= cutFrom && now < cutFrom + CUT_MILLIS;
      FleetQuota chosen = fleet.get(random.nextInt(INSTANCES));
      if (random.nextInt(13) == 0 && chosen.take(now, quota, CALL_UNITS) == 0) {
        spentAt[now] = CALL_UNITS;
      }
      tell(fleet, now, cut ? CUT_OFF : 0);
    }
    assertWindows(spentAt);
  }

  /** The first instances are cut off from the rest. */
  private static void tell(List<FleetQuota> fleet, int now, int cutOff) {
    int teller = now % TOLD_MILLIS;
    if (teller < INSTANCES) {
      int heard = teller < cutOff ? cutOff : INSTANCES - cutOff;
      fleet.get(teller).fleet(heard, INSTANCES);
      for (int i = 0; i < INSTANCES; i++) {
        if (i != teller && (i < cutOff) == (teller < cutOff)) {
          fleet.get(i).heard(now, "run-" + teller, true, fleet.get(teller).spent());
        }
      }
    }
  }

  private static void assertWindows(long[] spentAt) {
    double allowed = (RATE * WINDOW_MILLIS / 1000.0 + BURST) * OVERAGE + SLACK;
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
