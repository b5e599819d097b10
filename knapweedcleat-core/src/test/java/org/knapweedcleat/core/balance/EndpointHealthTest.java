package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {

  private final EndpointHealth health = EndpointHealth.unknown();

  @Test
  void oneFailureIsForgiven() {
    health.failed(0);

    assertThat(health.isTrusted(0), is(true));
  }

  @Test
  void secondFailureInRowBringsPauseThatDoubles() {
    health.failed(0);
    health.failed(0);
    assertThat(health.isTrusted(999), is(false));
    assertThat(health.isTrusted(1_000), is(true));

    health.failed(1_000);
    assertThat(health.isTrusted(2_999), is(false));
    assertThat(health.isTrusted(3_000), is(true));
  }

  @Test
  void onProbationOneCallAtTime() {
    health.failed(0);
    health.failed(0);
    health.sending(4_000);
    assertThat(health.isTrusted(5_000), is(false));

    health.succeeded(5_000, 80);
    assertThat(health.isTrusted(5_000), is(true));
    assertThat(health.isOnProbation(), is(false));
  }

  @Test
  void callWhoseCallerLeftDoesNotBlockEndpointForGood() {
    health.failed(0);
    health.failed(0);
    health.sending(1_000);

    assertThat(health.isTrusted(3_999), is(false));
    assertThat(health.isTrusted(4_000), is(true));
  }

  @Test
  void partialFailuresAreNoticedThoughSuccessesComeBetween() {
    for (int i = 0; i < 20 && health.isTrusted(0); i++) {
      health.failed(0);
      if (health.isTrusted(0)) {
        health.succeeded(0, 50);
      }
    }

    assertThat(health.isTrusted(0), is(false));
    assertThat(health.failureShare(0), greaterThan(0.25));
  }

  @Test
  void unreachableUntilConnectionComesAbout() {
    health.unreachable();
    assertThat(health.isTrusted(60_000), is(false));

    health.reached(60_000);
    assertThat(health.isTrusted(60_000), is(true));
  }

  @Test
  void wordOfOthersCountsUnlessJustReached() {
    health.reached(1_000);
    health.doubted(1_100);
    assertThat(health.isUnreachable(), is(false));

    health.doubted(2_000);
    assertThat(health.isUnreachable(), is(true));
    assertThat(health.isFoundUnreachable(), is(false));
  }

  @Test
  void fullEndpointRestsShortly() {
    health.full(0);

    assertThat(health.isTrusted(149), is(false));
    assertThat(health.isTrusted(150), is(true));
    assertThat(health.isOnProbation(), is(false));
  }

  @Test
  void suspectedEndpointGetsNothingUntilItIsReached() {
    health.reached(1_000);
    health.suspected();
    assertThat(health.isTrusted(1_000), is(false));
    assertThat(health.isFoundUnreachable(), is(false));

    health.reached(1_050);
    assertThat(health.isTrusted(1_050), is(true));
  }

  @Test
  void endpointThatTurnsCallsAwayRestsUntilItsEntryChanges() {
    health.turnedAway(0);
    health.reached(100);

    assertThat(health.isTrusted(3_999), is(false));
    assertThat(health.isTrusted(4_000), is(true));
  }
}
