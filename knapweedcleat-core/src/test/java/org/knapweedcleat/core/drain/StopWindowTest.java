package org.knapweedcleat.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class StopWindowTest {

  private final StopWindow window = StopWindow.of(2_600, 7_500);

  @Test
  void takesAllWhileCallersCannotKnow() {
    assertThat(window.takes(2_600, 14_000), is(true));
  }

  @Test
  void takesLaterOnlyWhatEndsInTime() {
    assertThat(window.takes(2_601, 14_000), is(false));
    assertThat(window.takes(5_000, 2_500), is(true));
    assertThat(window.takes(5_001, 2_500), is(false));
  }
}
