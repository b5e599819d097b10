package org.knapweedcleat.core.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class BodyProgressTest {

  private static final long WINDOW_MILLIS = 15_000;

  private final BodyProgress progress = BodyProgress.begin(64, 0);

  /** Load: a body of which a byte comes every few seconds, for ever. */
  @Test
  void occasionalBytesDoNotExtendTheTime() {
    for (long millis = 0; millis <= WINDOW_MILLIS; millis += 1_000) {
      progress.record(1, millis);
    }

    assertThat(hasStopped(WINDOW_MILLIS + 1), is(true));
  }

  /** Load: a slow upload inside the limits. */
  @Test
  void slowUploadIsNotCutOff() {
    for (long millis = 0; millis <= 100 * WINDOW_MILLIS; millis += 1_000) {
      assertThat(hasStopped(millis), is(false));
      progress.record(8, millis);
    }
  }

  /** Load: an upload that was not read for want of memory. */
  @Test
  void timeInWhichTheCallerWasNotReadDoesNotCount() {
    progress.restart(WINDOW_MILLIS);

    assertThat(hasStopped(2 * WINDOW_MILLIS), is(false));
  }

  private boolean hasStopped(long nowMillis) {
    return nowMillis - progress.windowStartMillis() > WINDOW_MILLIS;
  }
}
