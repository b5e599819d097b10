package org.knapweedcleat.core.throttle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.id.EndpointId;

class EndpointRateLimitsTest {

  private final EndpointRateLimits limits = EndpointRateLimits.create();
  private final EndpointIncarnation endpoint = new EndpointIncarnation(EndpointId.of("e-1"), 1);

  @Test
  void announcedLimitIsInForceUntilResponseWithoutOne() {
    assertThat(limits.recordLimit(endpoint, 2.5, 100), is(true));
    assertThat(limits.recordLimit(endpoint, 2.5, 200), is(false));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.of(2.5)));

    assertThat(limits.recordNoLimit(endpoint, 201), is(true));
    assertThat(limits.recordNoLimit(endpoint, 202), is(false));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.empty()));
  }

  /** Guards against a limit that ends with a response sent before it was announced. */
  @Test
  void responseToEarlierRequestDoesNotEndLimit() {
    limits.recordLimit(endpoint, 2.5, 100);

    assertThat(limits.recordNoLimit(endpoint, 100), is(false));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.of(2.5)));
  }

  @Test
  void latestAnnouncementCounts() {
    limits.recordLimit(endpoint, 4, 200);

    assertThat(limits.recordLimit(endpoint, 2, 100), is(false));
    assertThat(limits.recordLimit(endpoint, 3, 200), is(true));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.of(3)));
  }

  @Test
  void restartedEndpointHasNoLimit() {
    limits.recordLimit(endpoint, 4, 200);

    assertThat(
        limits.requestsPerSecond(new EndpointIncarnation(endpoint.id(), 2)),
        is(OptionalDouble.empty()));
  }
}
