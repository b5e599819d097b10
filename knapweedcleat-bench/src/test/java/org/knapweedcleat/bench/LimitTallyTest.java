package org.knapweedcleat.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.TeamId;

class LimitTallyTest {

  private static final AccountSpec ACCOUNT =
      new AccountSpec(AccountId.of("account-1"), 10, 100, 1, Map.of(), TeamId.of("team"));

  @Test
  void countsRefusalsThatTheExactBucketHadTheTokensFor() {
    LimitTally tally = LimitTally.of(ACCOUNT, 0);
    refuse(tally, 100);
    tally.charged(0, 50);
    refuse(tally, 60);
    assertThat(tally.row(), is("2 | 0 | 2 | 0 | 1 | 1 | 50 | 100 | 0"));
  }

  @Test
  void countsTokensBeyondTheExactBucket() {
    LimitTally tally = LimitTally.of(ACCOUNT, 0);
    tally.charged(0, 100);
    tally.charged(1_000_000, 30);
    assertThat(tally.row(), is("0 | 0 | 0 | 0 | 0 | 0 | 130 | 0 | 20"));
  }

  @Test
  void leavesOutTheWarmUp() {
    LimitTally tally = LimitTally.of(ACCOUNT, 1);
    refuse(tally, 100);
    tally.charged(0, 130);
    assertThat(tally.row(), is("0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0"));
  }

  private static void refuse(LimitTally tally, long tokens) {
    LimitArrival arrival = new LimitArrival(0, ACCOUNT, 0, tokens);
    tally.refused(0, arrival, tally.arrived(0, arrival));
  }
}
