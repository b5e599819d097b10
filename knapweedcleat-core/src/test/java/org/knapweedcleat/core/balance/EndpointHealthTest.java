package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {

  private final EndpointHealth health = EndpointHealth.initial();

  @Test
  void singleFailureDoesNotBackOff() {
    health.recordFailure(0);

    assertThat(health.acceptsCall(0), is(true));
  }

  @Test
  void consecutiveFailuresDoubleBackoff() {
    health.recordFailure(0);
    health.recordFailure(0);
    assertThat(health.acceptsCall(999), is(false));
    assertThat(health.acceptsCall(1_000), is(true));

    health.recordFailure(1_000);
    assertThat(health.acceptsCall(2_999), is(false));
    assertThat(health.acceptsCall(3_000), is(true));
  }

  @Test
  void probationAllowsSingleCall() {
    health.recordFailure(0);
    health.recordFailure(0);
    health.recordSend(4_000);
    assertThat(health.acceptsCall(5_000), is(false));

    health.recordSuccess(5_000, 80);
    assertThat(health.acceptsCall(5_000), is(true));
    assertThat(health.isOnProbation(), is(false));
  }

  @Test
  void abandonedProbeDoesNotBlockEndpointForever() {
    health.recordFailure(0);
    health.recordFailure(0);
    health.recordSend(1_000);

    assertThat(health.acceptsCall(3_999), is(false));
    assertThat(health.acceptsCall(4_000), is(true));
  }

  @Test
  void partialFailuresAreDetectedDespiteSuccesses() {
    for (int i = 0; i < 20 && health.acceptsCall(0); i++) {
      health.recordFailure(0);
      if (health.acceptsCall(0)) {
        health.recordSuccess(0, 50);
      }
    }

    assertThat(health.acceptsCall(0), is(false));
    assertThat(health.failureRate(0), greaterThan(0.25));
  }

  @Test
  void unreachableUntilConnected() {
    health.markUnreachable();
    assertThat(health.acceptsCall(60_000), is(false));

    health.markReachable(60_000);
    assertThat(health.acceptsCall(60_000), is(true));
  }

  @Test
  void peerReportCountsUnlessRecentlyReached() {
    health.markReachable(1_000);
    health.markReportedUnreachable(1_100);
    assertThat(health.isUnreachable(), is(false));

    health.markReportedUnreachable(2_000);
    assertThat(health.isUnreachable(), is(true));
    assertThat(health.isLocallyUnreachable(), is(false));
  }

  @Test
  void fullEndpointBacksOffBriefly() {
    health.markFull(0);

    assertThat(health.acceptsCall(149), is(false));
    assertThat(health.acceptsCall(150), is(true));
    assertThat(health.isOnProbation(), is(false));
  }

  @Test
  void suspectedEndpointGetsNoCallsUntilReached() {
    health.markReachable(1_000);
    health.markSuspected();
    assertThat(health.acceptsCall(1_000), is(false));
    assertThat(health.isLocallyUnreachable(), is(false));

    health.markReachable(1_050);
    assertThat(health.acceptsCall(1_050), is(true));
  }

  @Test
  void misdirectedEndpointBacksOffForMaximum() {
    health.markMisdirected(0);
    health.markReachable(100);

    assertThat(health.acceptsCall(3_999), is(false));
    assertThat(health.acceptsCall(4_000), is(true));
  }
}
