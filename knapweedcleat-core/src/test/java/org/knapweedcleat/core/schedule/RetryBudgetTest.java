package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  @Test
  void limitsRetriesToFractionOfSuccesses() {
    RetryBudget budget = RetryBudget.of(0.5, 2);
    assertThat(budget.trySpend(), is(true));
    assertThat(budget.trySpend(), is(true));
    assertThat(budget.trySpend(), is(false));
    budget.recordSuccess();
    assertThat(budget.trySpend(), is(false));
    budget.recordSuccess();
    assertThat(budget.trySpend(), is(true));
  }

  @Test
  void accumulatesNoMoreThanMaximum() {
    RetryBudget budget = RetryBudget.of(1, 1);
    budget.recordSuccess();
    budget.recordSuccess();
    assertThat(budget.trySpend(), is(true));
    assertThat(budget.trySpend(), is(false));
  }
}
