package org.knapweedcleat.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class DrainStateTest {

  private static final long LIMIT_MILLIS = 60_000;

  @Test
  void servesThroughTheGraceTimeAndWaitsForWhatRuns() {
    DrainState state = DrainState.open(LIMIT_MILLIS);
    assertThat(state.admits(1_000_000), is(true));
    assertThat(state.isDone(1_000_000, 0, 0, 0), is(false));

    assertThat(state.begin(10), is(true));
    assertThat(state.begin(20), is(false));
    assertThat(state.admits(9 + DrainState.GRACE_MILLIS), is(true));
    assertThat(state.isDone(9 + DrainState.GRACE_MILLIS, 0, 0, 0), is(false));
    assertThat(state.admits(10 + DrainState.GRACE_MILLIS), is(false));
    assertThat(state.isDone(10 + DrainState.GRACE_MILLIS, 1, 0, 0), is(false));
    assertThat(state.isDone(10 + DrainState.GRACE_MILLIS, 0, 1, 0), is(false));
    assertThat(state.isDone(10 + DrainState.GRACE_MILLIS, 0, 0, 1), is(false));
    assertThat(state.isDone(10 + DrainState.GRACE_MILLIS, 0, 0, 0), is(true));
    assertThat(state.isDone(10 + DrainState.CANCEL_LIMIT_MILLIS, 0, 0, 1), is(true));
    assertThat(state.isDone(10 + LIMIT_MILLIS, 1, 0, 0), is(true));
  }
}
