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
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/** An endpoint that fails a part of its calls while it says that it is well. */
class PartlyFailingEndpointTest {

  private static final int ENDPOINTS = 6;
  private static final int CALLS = 6_000;
  private static final long CALL_EVERY_MILLIS = 20;
  private static final long CALL_MILLIS = 60;
  private static final double FAILING_PART = 0.4;
  private static final EndpointId FAILING = EndpointId.of("e-0");
  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");

  private final Random random = new Random(20261204);
  private final EndpointHealthRegistry health = EndpointHealthRegistry.create();
  private final EndpointSelector chooser =
      EndpointSelector.of(
          DomainTopology.of(DOMAIN, Map.of(DOMAIN, RegionId.of("r"))),
          WorkloadTracker.of(1_000),
          health,
          random::nextDouble);
  private final List<EndpointEntry> endpoints = endpoints();
  private long nowMillis;

  @Test
  void itGetsLessThanHalfOfItsShare() {
    assertThat(callsAtFailing(CALLS, FAILING_PART), lessThan(CALLS / ENDPOINTS / 2));
  }

  @Test
  void itGetsItsShareAgainWhenItIsWell() {
    callsAtFailing(CALLS, FAILING_PART);
    callsAtFailing(CALLS / 10, 0);

    assertThat(callsAtFailing(CALLS, 0), greaterThan(CALLS / ENDPOINTS / 2));
  }

  private int callsAtFailing(int calls, double failingPart) {
    int atFailing = 0;
    for (int i = 0; i < calls; i++) {
      nowMillis += CALL_EVERY_MILLIS;
      EndpointId chosen = chooser.selectForPlainCall(nowMillis, endpoints, Set.of()).orElseThrow().id();
      EndpointHealth seen = health.get(chosen);
      seen.recordSend(nowMillis);
      boolean fails = chosen.equals(FAILING) && random.nextDouble() < failingPart;
      if (fails) {
        seen.recordFailure(nowMillis);
      } else {
        seen.recordSuccess(nowMillis, CALL_MILLIS);
      }
      atFailing += chosen.equals(FAILING) ? 1 : 0;
    }
    return atFailing;
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
