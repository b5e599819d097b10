package org.knapweedcleat.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class ShutdownAdmissionTest {

  private final ShutdownAdmission admission = ShutdownAdmission.of(2_600, 7_500);

  @Test
  void admitsAllWhileCallersCannotKnow() {
    assertThat(admission.admits(2_600, 14_000, false), is(true));
  }

  @Test
  void admitsOnlyCallsThatEndInTimeAfterwards() {
    assertThat(admission.admits(2_601, 14_000, false), is(false));
    assertThat(admission.admits(5_000, 2_400, false), is(true));
    assertThat(admission.admits(5_001, 2_400, false), is(false));
  }

  @Test
  void admitsUnrepeatableCallsOnlyIfTheyEndInTime() {
    assertThat(admission.admits(0, 7_400, true), is(true));
    assertThat(admission.admits(0, 7_401, true), is(false));
    assertThat(admission.admits(5_000, 2_400, true), is(true));
  }
}
