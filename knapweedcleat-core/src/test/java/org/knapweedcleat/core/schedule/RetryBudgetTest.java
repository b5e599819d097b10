package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  @Test
  void boundsRetriesToShareOfSuccesses() {
    RetryBudget budget = RetryBudget.of(0.5, 2);
    assertThat(budget.trySpend(), is(true));
    assertThat(budget.trySpend(), is(true));
    assertThat(budget.trySpend(), is(false));
    budget.onSuccess();
    assertThat(budget.trySpend(), is(false));
    budget.onSuccess();
    assertThat(budget.trySpend(), is(true));
  }

  @Test
  void savesNoMoreThanItsLimit() {
    RetryBudget budget = RetryBudget.of(1, 1);
    budget.onSuccess();
    budget.onSuccess();
    assertThat(budget.trySpend(), is(true));
    assertThat(budget.trySpend(), is(false));
  }
}
