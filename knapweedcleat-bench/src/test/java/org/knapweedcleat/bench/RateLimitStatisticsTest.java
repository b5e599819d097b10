package org.knapweedcleat.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.TeamId;

class RateLimitStatisticsTest {

  private static final AccountSpec ACCOUNT =
      new AccountSpec(AccountId.of("account-1"), 10, 100, 1, Map.of(), TeamId.of("team"));

  @Test
  void countsFalseRefusals() {
    RateLimitStatistics statistics = RateLimitStatistics.of(ACCOUNT, 0);
    refuse(statistics, 100);
    statistics.recordCharge(0, 50);
    refuse(statistics, 60);
    assertThat(statistics.formatRow(), is("2 | 0 | 2 | 0 | 1 | 1 | 50 | 100 | 0"));
  }

  @Test
  void countsOverGrantedTokens() {
    RateLimitStatistics statistics = RateLimitStatistics.of(ACCOUNT, 0);
    statistics.recordCharge(0, 100);
    statistics.recordCharge(1_000_000, 30);
    assertThat(statistics.formatRow(), is("0 | 0 | 0 | 0 | 0 | 0 | 130 | 0 | 20"));
  }

  @Test
  void ignoresWarmUpPeriod() {
    RateLimitStatistics statistics = RateLimitStatistics.of(ACCOUNT, 1);
    refuse(statistics, 100);
    statistics.recordCharge(0, 130);
    assertThat(statistics.formatRow(), is("0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0"));
  }

  private static void refuse(RateLimitStatistics statistics, long tokens) {
    RateLimitArrival arrival = new RateLimitArrival(0, ACCOUNT, 0, tokens);
    statistics.recordRefusal(0, arrival, statistics.recordArrival(0, arrival));
  }
}
