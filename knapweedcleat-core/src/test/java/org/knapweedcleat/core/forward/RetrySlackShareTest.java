package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class RetrySlackShareTest {

  private static final long WINDOW_MILLIS = 10_000;
  private static final long ESTABLISHED_MILLIS = 20_000;

  private final RetrySlackShare share = RetrySlackShare.of(0, WINDOW_MILLIS);

  @Test
  void shareIsZeroUntilFleetSizeIsKnown() {
    share.observe(0, 1, 3);
    share.observe(ESTABLISHED_MILLIS, 8, 1);

    assertThat(share.fraction(ESTABLISHED_MILLIS), is(0.0));
    assertThat(share.fleetSize(), is(0));
  }

  @Test
  void establishedIncarnationUsesMostOfItsShare() {
    share.observe(1_000, 8, 0);

    assertThat(share.fraction(ESTABLISHED_MILLIS), closeTo(0.8 / 8, 1e-9));
  }

  @Test
  void youngIncarnationLeavesRoomForPredecessors() {
    share.observe(1_000, 8, 0);

    assertThat(share.fraction(1_000), is(0.0));
    assertThat(share.fraction(4_000) * 8 * 2 + 0.8, closeTo(1, 1e-9));
  }

  @Test
  void youngIncarnationWaitsWhileFleetGrows() {
    for (long nowMillis = 0; nowMillis <= 5_000; nowMillis += 500) {
      share.observe(nowMillis, (int) (1 + nowMillis / 100), 0);
      assertThat(share.fraction(nowMillis), nowMillis == 0 ? is(0.1) : is(0.0));
    }
  }

  @Test
  void silentInstancesKeepTheirShares() {
    share.observe(1_000, 75, 0);
    share.observe(100_000, 2, 2);

    assertThat(share.fraction(100_000), closeTo(0.8 / 75, 1e-9));
  }

  @Test
  void permanentlyShrunkenFleetIsDetected() {
    share.observe(1_000, 75, 0);
    for (long nowMillis = 2_000; nowMillis < 1_300_000; nowMillis += 1_000) {
      share.observe(nowMillis, 30, 0);
    }

    assertThat(share.fleetSize(), is(30));
  }

  @Test
  void incarnationWithoutSeedsUsesReportedSize() {
    share.observe(0, 5, 2);
    share.observeReported(500, 0);
    assertThat(share.fleetSize(), is(0));
    share.observeReported(1_000, 75);
    share.observe(1_500, 6, 2);

    assertThat(share.fleetSize(), is(75));
    assertThat(share.fraction(1_500), lessThan(0.8 / 75));
  }
}
