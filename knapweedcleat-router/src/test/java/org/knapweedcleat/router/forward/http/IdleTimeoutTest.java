package org.knapweedcleat.router.forward.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class IdleTimeoutTest {

  private static final long LIMIT_MILLIS = 1_000;
  private static final long LOWER_MILLIS = 300;

  private final IdleTimeout timeout = IdleTimeout.of(LIMIT_MILLIS);

  @Test
  void elapsesAfterLimit() {
    assertThat(timeout.hasElapsed(LIMIT_MILLIS, 0, 1_000), is(false));
    assertThat(timeout.hasElapsed(LIMIT_MILLIS, 0, 1_001), is(true));
  }

  @Test
  void loweredLimitCountsFromWhenItWasLearned() {
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 0, 600), is(false));
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 0, 900), is(false));
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 0, 901), is(true));
  }

  @Test
  void loweredLimitDoesNotExtendTheOneBefore() {
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 0, 900), is(false));
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 0, 1_001), is(true));
  }

  @Test
  void useAfterLoweredLimitStartsTheLowerOne() {
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 0, 600), is(false));
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 700, 1_000), is(false));
    assertThat(timeout.hasElapsed(LOWER_MILLIS, 700, 1_001), is(true));
  }

  @Test
  void raisedLimitAppliesAtOnce() {
    assertThat(timeout.hasElapsed(2 * LIMIT_MILLIS, 0, 1_500), is(false));
    assertThat(timeout.hasElapsed(2 * LIMIT_MILLIS, 0, 2_001), is(true));
  }
}
