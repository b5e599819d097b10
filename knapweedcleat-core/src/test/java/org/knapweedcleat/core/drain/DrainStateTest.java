package org.knapweedcleat.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class DrainStateTest {

  private static final long MAX_DRAIN_MILLIS = 60_000;

  @Test
  void admitsRequestsInGracePeriodAndWaitsForRunningOnes() {
    DrainState state = DrainState.initial(MAX_DRAIN_MILLIS);
    assertThat(state.admitsRequests(1_000_000), is(true));
    assertThat(state.isComplete(1_000_000, 0, 0, 0), is(false));

    assertThat(state.start(10), is(true));
    assertThat(state.start(20), is(false));
    assertThat(state.admitsRequests(9 + DrainState.GRACE_PERIOD_MILLIS), is(true));
    assertThat(state.isComplete(9 + DrainState.GRACE_PERIOD_MILLIS, 0, 0, 0), is(false));
    assertThat(state.admitsRequests(10 + DrainState.GRACE_PERIOD_MILLIS), is(false));
    assertThat(state.isComplete(10 + DrainState.GRACE_PERIOD_MILLIS, 1, 0, 0), is(false));
    assertThat(state.isComplete(10 + DrainState.GRACE_PERIOD_MILLIS, 0, 1, 0), is(false));
    assertThat(state.isComplete(10 + DrainState.GRACE_PERIOD_MILLIS, 0, 0, 1), is(false));
    assertThat(state.isComplete(10 + DrainState.GRACE_PERIOD_MILLIS, 0, 0, 0), is(true));
    assertThat(state.isComplete(10 + DrainState.CANCEL_TIMEOUT_MILLIS, 0, 0, 1), is(true));
    assertThat(state.isComplete(10 + MAX_DRAIN_MILLIS, 1, 0, 0), is(true));
  }
}
