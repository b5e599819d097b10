package org.knapweedcleat.core.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.id.ServiceId;

class CapacityWaitPolicyTest {

  private final ForwardRoute route =
      new ForwardRoute(
          "r",
          "h",
          "/",
          CallKind.STREAM,
          true,
          true,
          14_000,
          900,
          300,
          2,
          1,
          List.of(new ServiceShare(ServiceId.of("s"), 1)),
          Set.of());

  @Test
  void callWithShorterDeadlineThanUsualIsLate() {
    LateCallDetector detector = LateCallDetector.create();

    assertThat(detector.isLate(route, OptionalLong.of(14_000)), is(false));
    assertThat(detector.isLate(route, OptionalLong.of(13_200)), is(false));
    assertThat(detector.isLate(route, OptionalLong.of(11_000)), is(true));
    assertThat(detector.isLate(route, OptionalLong.empty()), is(false));
  }

  @Test
  void callOnTimeWaitsAtMostHalfOfTarget() {
    assertThat(
        CapacityWaitPolicy.of(false).waitMillis(route.targetMillis()),
        lessThanOrEqualTo(route.targetMillis() / 2));
  }

  @Test
  void lateCallsMayFillLessMemory() {
    assertThat(
        CapacityWaitPolicy.LATE.usableMemoryFraction(),
        is(lessThan(CapacityWaitPolicy.ON_TIME.usableMemoryFraction())));
  }

  @Test
  void refusedCallsRetryWithinThirdOfRemainingTime() {
    assertThat(
        CapacityWaitPolicy.retryAfterMillis(13_000, 0.5),
        is(both(greaterThanOrEqualTo(2_000L)).and(lessThanOrEqualTo(4_000L))));
    assertThat(CapacityWaitPolicy.retryAfterMillis(3_000, 0.9), is(1_000L));
    assertThat(CapacityWaitPolicy.retryAfterMillis(0, 0.9), is(1L));
  }
}
