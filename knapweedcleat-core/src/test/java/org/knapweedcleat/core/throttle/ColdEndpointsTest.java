package org.knapweedcleat.core.throttle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.EnumSet;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.directory.PublishedFault;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;

/** Statements of endpoints that they are cold, which overtake each other or are faulty. */
class ColdEndpointsTest {

  private static final EndpointIncarnation ENDPOINT =
      new EndpointIncarnation(EndpointId.of("e-1"), 1);

  private final ColdEndpoints endpoints = ColdEndpoints.create();

  @Test
  void endpointIsColdForStatedTime() {
    assertThat(endpoints.isCold(0, ENDPOINT), is(false));

    assertThat(endpoints.record(observation(100, 5_000)), is(true));

    assertThat(endpoints.isCold(4_999, ENDPOINT), is(true));
    assertThat(endpoints.isCold(5_000, ENDPOINT), is(false));
  }

  @Test
  void restartedEndpointIsWarmUntilItStatesOtherwise() {
    endpoints.record(observation(100, 5_000));

    assertThat(endpoints.isCold(200, new EndpointIncarnation(ENDPOINT.id(), 2)), is(false));
  }

  /** Guards against a response from before the endpoint became cold that ends its limit. */
  @Test
  void laterStatementDoesNotShortenTime() {
    endpoints.record(observation(100, 5_000));

    assertThat(endpoints.record(observation(200, 200)), is(false));
    assertThat(endpoints.record(observation(300, 2_000)), is(false));
    assertThat(endpoints.isCold(4_000, ENDPOINT), is(true));
  }

  @Test
  void endpointMayBecomeColdAgain() {
    endpoints.record(observation(100, 5_000));

    assertThat(endpoints.record(observation(9_000, 12_000)), is(true));
    assertThat(endpoints.isCold(10_000, ENDPOINT), is(true));
  }

  /** Guards against an instance that starts later and does not learn of the cold endpoint. */
  @Test
  void observationIsReportedUntilEndpointIsWarm() {
    ColdObservation observation = observation(100, 50_000);
    endpoints.record(observation);

    assertThat(
        endpoints.current(49_999, EnumSet.of(ObservationSource.LOCAL)), contains(observation));
    assertThat(endpoints.current(200, EnumSet.of(ObservationSource.OWN_DOMAIN)), empty());
    assertThat(endpoints.current(50_000, EnumSet.of(ObservationSource.LOCAL)), empty());
  }

  @Test
  void negativeTimeIsFaultAndDoesNotCount() {
    ColdTimeRule rule = ColdTimeRule.of(20_000);

    assertThat(
        rule.check("endpoint e-1", -5).map(PublishedFault::kind),
        is(Optional.of(PublishedFault.Kind.INVALID_COLD_TIME)));
    assertThat(rule.effectiveMillis(-5), is(0L));
  }

  /** Guards against a corrupt time that limits an endpoint for hours. */
  @Test
  void implausibleTimeIsFaultAndCountsAsColdStart() {
    ColdTimeRule rule = ColdTimeRule.of(20_000);

    assertThat(
        rule.check("endpoint e-1", Long.MAX_VALUE).map(PublishedFault::kind),
        is(Optional.of(PublishedFault.Kind.IMPLAUSIBLE_COLD_TIME)));
    assertThat(rule.effectiveMillis(Long.MAX_VALUE), is(20_000L));
    assertThat(rule.check("endpoint e-1", 25_000), is(Optional.empty()));
    assertThat(rule.effectiveMillis(25_000), is(25_000L));
    assertThat(
        ColdTimeRule.of(0).effectiveMillis(Long.MAX_VALUE), is(ColdTimeRule.DEFAULT_MAX_MILLIS));
  }

  private static ColdObservation observation(long atMillis, long untilMillis) {
    return new ColdObservation(ENDPOINT, untilMillis, atMillis, ObservationSource.LOCAL);
  }
}
