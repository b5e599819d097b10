package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class SlackShareTest {

  private static final long WINDOW_MILLIS = 10_000;
  private static final long OLD_MILLIS = 20_000;

  private final SlackShare share = SlackShare.of(0, WINDOW_MILLIS);

  @Test
  void nothingIsUsedBeforeTheFleetIsKnown() {
    share.seen(0, 1, 3);
    share.seen(OLD_MILLIS, 8, 1);

    assertThat(share.part(OLD_MILLIS), is(0.0));
    assertThat(share.size(), is(0));
  }

  @Test
  void oldRunUsesMostOfItsPart() {
    share.seen(1_000, 8, 0);

    assertThat(share.part(OLD_MILLIS), closeTo(0.8 / 8, 1e-9));
  }

  @Test
  void youngRunLeavesRoomForItsPredecessors() {
    share.seen(1_000, 8, 0);

    assertThat(share.part(1_000), is(0.0));
    assertThat(share.part(4_000) * 8 * 2 + 0.8, closeTo(1, 1e-9));
  }

  @Test
  void youngRunWaitsWhileTheFleetGrows() {
    for (long nowMillis = 0; nowMillis <= 5_000; nowMillis += 500) {
      share.seen(nowMillis, (int) (1 + nowMillis / 100), 0);
      assertThat(share.part(nowMillis), nowMillis == 0 ? is(0.1) : is(0.0));
    }
  }

  @Test
  void thoseThatAreNoLongerHeardKeepTheirParts() {
    share.seen(1_000, 75, 0);
    share.seen(100_000, 2, 2);

    assertThat(share.part(100_000), closeTo(0.8 / 75, 1e-9));
  }

  @Test
  void fleetThatShrinksForGoodIsNoticedInTheEnd() {
    share.seen(1_000, 75, 0);
    for (long nowMillis = 2_000; nowMillis < 1_300_000; nowMillis += 1_000) {
      share.seen(nowMillis, 30, 0);
    }

    assertThat(share.size(), is(30));
  }

  @Test
  void runThatCannotReachTheSeedsIsToldTheSize() {
    share.seen(0, 5, 2);
    share.told(500, 0);
    assertThat(share.size(), is(0));
    share.told(1_000, 75);
    share.seen(1_500, 6, 2);

    assertThat(share.size(), is(75));
    assertThat(share.part(1_500), lessThan(0.8 / 75));
  }
}
