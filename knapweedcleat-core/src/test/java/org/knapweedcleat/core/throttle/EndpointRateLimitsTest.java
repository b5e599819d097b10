package org.knapweedcleat.core.throttle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;

class EndpointRateLimitsTest {

  private final EndpointRateLimits limits = EndpointRateLimits.create();
  private final EndpointIncarnation endpoint = new EndpointIncarnation(EndpointId.of("e-1"), 1);

  @Test
  void announcedLimitIsInForceUntilResponseWithoutOne() {
    assertThat(record(2.5, 100), is(true));
    assertThat(record(2.5, 200), is(false));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.of(2.5)));

    assertThat(recordNone(201 + LimitObservation.MIN_SILENCE_MILLIS), is(true));
    assertThat(recordNone(202 + LimitObservation.MIN_SILENCE_MILLIS), is(false));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.empty()));
  }

  /** Guards against a limit that ends with a response sent before it was announced. */
  @Test
  void responseSoonAfterAnnouncementDoesNotEndLimit() {
    record(2.5, 100);

    assertThat(recordNone(100), is(false));
    assertThat(recordNone(100 + LimitObservation.MIN_SILENCE_MILLIS), is(false));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.of(2.5)));
  }

  @Test
  void latestAnnouncementCounts() {
    record(4, 200);

    assertThat(record(2, 100), is(false));
    assertThat(record(3, 200), is(true));
    assertThat(limits.requestsPerSecond(endpoint), is(OptionalDouble.of(3)));
  }

  @Test
  void restartedEndpointHasNoLimit() {
    record(4, 200);

    assertThat(
        limits.requestsPerSecond(new EndpointIncarnation(endpoint.id(), 2)),
        is(OptionalDouble.empty()));
  }

  @Test
  void onlyRecentObservationsOfTheGivenSourcesAreReported() {
    LimitObservation remote =
        new LimitObservation(
            new EndpointIncarnation(EndpointId.of("e-2"), 1),
            OptionalDouble.of(1),
            100,
            ObservationSource.OTHER_DOMAIN);
    record(4, 200);
    limits.record(remote);

    assertThat(
        limits.recent(300, Set.of(ObservationSource.LOCAL)).stream()
            .map(LimitObservation::endpoint)
            .toList(),
        is(List.of(endpoint)));
    assertThat(limits.recent(60_000, Set.of(ObservationSource.values())), is(List.of()));
  }

  private boolean record(double requestsPerSecond, long atMillis) {
    return limits.record(observation(OptionalDouble.of(requestsPerSecond), atMillis));
  }

  private boolean recordNone(long atMillis) {
    return limits.record(observation(OptionalDouble.empty(), atMillis));
  }

  private LimitObservation observation(OptionalDouble limit, long atMillis) {
    return new LimitObservation(endpoint, limit, atMillis, ObservationSource.LOCAL);
  }
}
