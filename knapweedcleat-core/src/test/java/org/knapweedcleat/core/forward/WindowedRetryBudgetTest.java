package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {

  @Test
  void allowsShareOfCallsAndSlack() {
    WindowedRetryBudget budget = WindowedRetryBudget.of(0.2, 10_000, 1);
    for (int i = 0; i < 5; i++) {
      budget.recordCall(0);
    }

    assertThat(budget.trySpend(0), is(true));
    assertThat(budget.trySpend(0), is(true));
    assertThat(budget.trySpend(0), is(false));
  }

  @Test
  void windowSlides() {
    WindowedRetryBudget budget = WindowedRetryBudget.of(0, 10_000, 1);
    assertThat(budget.trySpend(0), is(true));

    assertThat(budget.trySpend(9_999), is(false));
    assertThat(budget.trySpend(10_000), is(true));
  }

  @Test
  void callsBeforeWindowDoNotCount() {
    WindowedRetryBudget budget = WindowedRetryBudget.of(1, 10_000, 0);
    budget.recordCall(0);

    assertThat(budget.canSpend(9_999), is(true));
    assertThat(budget.canSpend(10_000), is(false));
  }

  @Test
  void refundedRetryCanBeSpentAgain() {
    WindowedRetryBudget budget = WindowedRetryBudget.of(0, 10_000, 1);
    assertThat(budget.trySpend(0), is(true));
    budget.refund(0);

    assertThat(budget.trySpend(0), is(true));
    assertThat(budget.trySpend(0), is(false));
  }

  /** Guards against a refund that removes another retry, which was sent and still has to count. */
  @Test
  void refundDoesNotRemoveOtherRetries() {
    WindowedRetryBudget budget = WindowedRetryBudget.of(0, 10_000, 2);
    assertThat(budget.trySpend(0), is(true));
    assertThat(budget.trySpend(9_000), is(true));
    budget.refund(0);

    assertThat(budget.remaining(10_500), is(1.0));
    budget.refund(0);
    assertThat(budget.remaining(10_500), is(1.0));
  }
}
