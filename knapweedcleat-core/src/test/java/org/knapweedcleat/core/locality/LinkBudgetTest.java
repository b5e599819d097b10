package org.knapweedcleat.core.locality;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class LinkBudgetTest {

  /** Guards against instances that together send more than the link carries. */
  @Test
  void instancesThatAllSendKeepToTheLinksRate() {
    int instances = 4;
    long bytes = 0;
    for (int i = 0; i < instances; i++) {
      LinkBudget budget = LinkBudget.of(8_000, () -> instances);
      for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 10) {
        if (budget.isAvailable(nowMillis)) {
          budget.charge(nowMillis, 5_000);
          bytes += 5_000;
        }
      }
    }

    long burst = 1_000_000;
    assertThat(bytes <= 60 * 1_000_000 + burst + instances * 5_000, is(true));
  }

  @Test
  void callsThatOnlyAnotherRegionCanServeDoNotBlockTheLinkForLong() {
    LinkBudget budget = LinkBudget.of(8, () -> 1);
    for (int i = 0; i < 1_000; i++) {
      budget.charge(0, 1_000_000);
    }

    assertThat(budget.isAvailable(900), is(false));
    assertThat(budget.isAvailable(1_100), is(true));
  }

  @Test
  void unlimitedLinkIsAlwaysAvailable() {
    LinkBudget budget = LinkBudget.of(0, () -> 1);
    budget.charge(0, 1_000_000_000);

    assertThat(budget.isAvailable(0), is(true));
  }
}
