package org.knapweedcleat.bench.pattern;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/** Guards against full traffic to an endpoint that fails some calls but reports no fault. */
class PartiallyFailingEndpointTest {

  private static final int ENDPOINTS = 6;
  private static final int CALLS = 6_000;
  private static final long CALL_INTERVAL_MILLIS = 20;
  private static final long CALL_DURATION_MILLIS = 60;
  private static final double FAILURE_RATE = 0.4;
  private static final EndpointId FAILING_ENDPOINT = EndpointId.of("e-0");
  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");

  private final Random random = new Random(20261204);
  private final EndpointHealthRegistry health = EndpointHealthRegistry.create();
  private final EndpointSelector selector =
      EndpointSelector.of(
          DomainTopology.of(DOMAIN, Map.of(DOMAIN, RegionId.of("r"))),
          WorkloadTracker.of(1_000),
          health,
          random::nextDouble);
  private final List<EndpointEntry> endpoints = endpoints();
  private long nowMillis;

  @Test
  void failingEndpointGetsLessThanHalfOfItsShare() {
    assertThat(countCallsToFailingEndpoint(CALLS, FAILURE_RATE), lessThan(CALLS / ENDPOINTS / 2));
  }

  @Test
  void recoveredEndpointRegainsItsShare() {
    countCallsToFailingEndpoint(CALLS, FAILURE_RATE);
    countCallsToFailingEndpoint(CALLS / 10, 0);

    assertThat(countCallsToFailingEndpoint(CALLS, 0), greaterThan(CALLS / ENDPOINTS / 2));
  }

  private int countCallsToFailingEndpoint(int calls, double failureRate) {
    int callsToFailing = 0;
    for (int i = 0; i < calls; i++) {
      nowMillis += CALL_INTERVAL_MILLIS;
      EndpointId selected =
          selector.selectForPlainCall(nowMillis, endpoints, Set.of()).orElseThrow().id();
      EndpointHealth endpointHealth = health.get(selected);
      endpointHealth.recordSend(nowMillis);
      boolean fails = selected.equals(FAILING_ENDPOINT) && random.nextDouble() < failureRate;
      if (fails) {
        endpointHealth.recordFailure(nowMillis);
      } else {
        endpointHealth.recordSuccess(nowMillis, CALL_DURATION_MILLIS);
      }
      callsToFailing += selected.equals(FAILING_ENDPOINT) ? 1 : 0;
    }
    return callsToFailing;
  }

  private static List<EndpointEntry> endpoints() {
    List<EndpointEntry> all = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      all.add(
          new EndpointEntry(
              EndpointId.of("e-" + i),
              0,
              ServiceId.of("desk"),
              "127.0.0.1",
              9_000 + i,
              DOMAIN,
              EndpointStage.WHOLE,
              6,
              false));
    }
    return all;
  }
}
