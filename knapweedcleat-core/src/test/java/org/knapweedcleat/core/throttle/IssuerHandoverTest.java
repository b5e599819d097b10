package org.knapweedcleat.core.throttle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

class IssuerHandoverTest {

  private static final long HANDOVER_MILLIS = IssuerHandover.HANDOVER_MILLIS;

  private final IssuerHandover handover = IssuerHandover.create();
  private final EndpointIncarnation endpoint = new EndpointIncarnation(EndpointId.of("e-1"), 1);
  private final IncarnationId first = IncarnationId.of(InstanceId.of("r-1"), 1);
  private final IncarnationId restarted = IncarnationId.of(InstanceId.of("r-1"), 2);

  @Test
  void firstIssuerIsUsedAtOnce() {
    assertThat(handover.isSettled(100, endpoint), is(false));
    assertThat(handover.record(100, endpoint, first), is(true));
    assertThat(handover.record(200, endpoint, first), is(false));
    assertThat(handover.isSettled(200, endpoint), is(true));
  }

  @Test
  void changedIssuerIsUsedAfterHandover() {
    handover.record(100, endpoint, first);
    assertThat(handover.record(200, endpoint, restarted), is(true));

    assertThat(handover.isSettled(200, endpoint), is(false));
    assertThat(handover.isSettled(199 + HANDOVER_MILLIS, endpoint), is(false));
    assertThat(handover.isSettled(200 + HANDOVER_MILLIS, endpoint), is(true));
  }

  /** Guards against permits of two issuers while the view of which is live goes back and forth. */
  @Test
  void eachChangeStartsNewHandover() {
    handover.record(100, endpoint, first);
    handover.record(200, endpoint, restarted);
    handover.record(1_100, endpoint, first);

    assertThat(handover.isSettled(1_099 + HANDOVER_MILLIS, endpoint), is(false));
    assertThat(handover.isSettled(1_100 + HANDOVER_MILLIS, endpoint), is(true));
  }
}
