package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.throttle.PermitDecision;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.store.PublishedItem;

/** An endpoint is cold; every instance has more calls for it than it takes then. */
class FleetColdRateTest {

  private static final ServiceId SERVICE = ServiceId.of("desk");
  private static final EndpointEntry ENDPOINT =
      new EndpointEntry(
          EndpointId.of("e-1"),
          1,
          SERVICE,
          "10.9.0.1",
          8_080,
          FailureDomainId.of("a"),
          EndpointStage.WHOLE,
          6,
          false);

  private static final long JOIN_MILLIS = 15_000;
  private static final long COLD_MILLIS = 60_000;
  private static final long WINDOW_MILLIS = 1_000;
  private static final long STEP_MILLIS = 20;

  /** Time within which a published change reaches all instances. */
  private static final long PUBLISH_MILLIS = 3_000;

  /** Calls of an instance per second for which it would choose the endpoint. */
  private static final double CALLS_PER_SECOND = 8;

  private final List<Long> sends = new ArrayList<>();
  private SimulatedFleet fleet;
  private Random random;

  /** Guards against instances that do not read the store and send freely to a cold endpoint. */
  @ParameterizedTest
  @CsvSource({"9, 3, 2", "24, 6, 4", "96, 6, 2", "96, 6, 20"})
  void fleetKeepsToColdRateAndUsesIt(int instances, int domains, double rate) {
    start(instances, domains, rate);
    simulateCalls(20_000);

    assertThat((double) mostInWindow(), lessThanOrEqualTo(allowed(rate)));
    assertThat(sends.size(), greaterThanOrEqualTo((int) (rate * 20 * 0.8)));
  }

  /** Guards against permits of an instance and of its successor as coordinator that add up. */
  @ParameterizedTest
  @CsvSource({"9, 3, 2", "9, 3, 10", "24, 6, 4"})
  void fleetWithRestartsKeepsToColdRate(int instances, int domains, double rate) {
    start(instances, domains, rate);
    for (int fault = 0; fault < 12; fault++) {
      Node victim = fleet.running().get(random.nextInt(instances));
      fleet.kill(victim);
      simulateCalls(random.nextInt(3_000));
      fleet.restart(victim);
      simulateCalls(500 + random.nextInt(1_000));
    }

    assertThat((double) mostInWindow(), lessThanOrEqualTo(allowed(rate)));
  }

  /** Guards against an entry that is read again and makes its endpoint cold for longer. */
  @ParameterizedTest
  @CsvSource({"9, 3, 2", "96, 6, 2"})
  void warmEndpointIsNotLimited(int instances, int domains, double rate) {
    start(instances, domains, rate);
    fleet.run(COLD_MILLIS);

    for (Node node : fleet.running()) {
      assertThat(node.permits.isLimited(ENDPOINT), is(false));
    }
  }

  private void start(int instances, int domains, double rate) {
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fleet = SimulatedFleet.of(instances, Arrays.copyOf(names, domains));
    random = new Random(20261206);
    ServiceProfile profile =
        new ServiceProfile(SERVICE, 100, EngineProfile.NONE, rate, COLD_MILLIS);
    fleet.publishByOperators(
        new PublishedItem.Config(
            new RoutingContent(
                1, List.of(), List.of(profile), false, List.of(), RequestLimits.INITIAL),
            fleet.nextPosition()));
    fleet.run(JOIN_MILLIS);
    fleet.publish(new PublishedItem.Endpoint(ENDPOINT, COLD_MILLIS, fleet.nextPosition()));
    fleet.run(PUBLISH_MILLIS);
  }

  private void simulateCalls(long millis) {
    long endMillis = fleet.nowMillis() + millis;
    while (fleet.nowMillis() < endMillis) {
      fleet.run(STEP_MILLIS);
      for (Node node : fleet.active()) {
        boolean knowsEndpoint = node.directory.endpoints().find(ENDPOINT.id()).isPresent();
        if (knowsEndpoint && random.nextDouble() < CALLS_PER_SECOND * STEP_MILLIS / 1_000) {
          call(node);
        }
      }
    }
  }

  private void call(Node node) {
    long maxDelayMillis = random.nextInt(2) * 240L;
    PermitDecision decision = node.permits.request(ENDPOINT, maxDelayMillis).await().indefinitely();
    if (decision.granted()) {
      sends.add(fleet.nowMillis() + decision.delayMillis());
    }
  }

  /** What operators allow in a second: one and a half times the rate, and five requests. */
  private static double allowed(double rate) {
    return 1.5 * rate + 5;
  }

  private int mostInWindow() {
    List<Long> sorted = sends.stream().sorted().toList();
    int most = 0;
    for (int first = 0, next = 0; first < sorted.size(); first++) {
      while (next < sorted.size() && sorted.get(next) - sorted.get(first) < WINDOW_MILLIS) {
        next++;
      }
      most = Math.max(most, next - first);
    }
    return most;
  }
}
