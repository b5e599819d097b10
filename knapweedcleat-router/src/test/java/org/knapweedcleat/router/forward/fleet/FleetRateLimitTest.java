package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.throttle.LimitObservation;
import org.knapweedcleat.core.throttle.PermitDecision;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;

/** An endpoint announces a request rate; every instance has more calls for it than that. */
class FleetRateLimitTest {

  private static final EndpointEntry ENDPOINT =
      new EndpointEntry(
          EndpointId.of("e-1"),
          1,
          ServiceId.of("desk"),
          "10.9.0.1",
          8_080,
          FailureDomainId.of("a"),
          EndpointStage.WHOLE,
          6,
          false);
  private static final EndpointIncarnation INCARNATION = EndpointIncarnation.of(ENDPOINT);

  private static final long STEP_MILLIS = 20;
  private static final long RESPONSE_MILLIS = 80;
  private static final long WINDOW_MILLIS = 4_000;

  /** Time within which an instance that passed on an announcement has to observe it. */
  private static final long REACTION_MILLIS = 500;

  /** Time for which the users excuse an instance after it was killed, paused or cut off. */
  private static final long EXCUSED_MILLIS = 4_000;

  /** Calls of an instance per second for which it would choose the endpoint. */
  private static final double CALLS_PER_SECOND = 8;

  private final Map<IncarnationId, Long> toldAtMillis = new HashMap<>();
  private final Map<String, Long> excusedUntilMillis = new HashMap<>();
  private final List<Long> countedSends = new ArrayList<>();
  private final List<Long> allSends = new ArrayList<>();
  private SimulatedFleet fleet;
  private Random random;

  @ParameterizedTest
  @CsvSource({"9, 3, 2.5", "9, 3, 0.4", "24, 6, 2.5", "96, 6, 2.5", "96, 6, 20"})
  void healthyFleetKeepsToRateAndUsesIt(int instances, int domains, double rate) {
    start(instances, domains, 1);
    simulateCalls(20_000, rate);

    assertThat(mostInWindow(), lessThanOrEqualTo(allowed(rate)));
    long lateSends =
        allSends.stream().filter(atMillis -> atMillis > fleet.nowMillis() - 10_000).count();
    assertThat(lateSends, greaterThanOrEqualTo((long) (rate * 10 * 0.8)));
  }

  /** Guards against permits of an instance and of its successor as coordinator that add up. */
  @ParameterizedTest
  @CsvSource({"9, 3, 2.5, 6", "24, 6, 4, 6", "96, 6, 2.5, 1"})
  void faultyFleetKeepsToRate(int instances, int domains, double rate, int seeds) {
    for (int seed = 1; seed <= seeds; seed++) {
      start(instances, domains, seed);
      simulateCalls(6_000, rate);
      for (int fault = 0; fault < 12; fault++) {
        injectFault(rate);
        simulateCalls(500 + random.nextInt(2_500), rate);
      }
      assertThat("seed " + seed, mostInWindow(), lessThanOrEqualTo(allowed(rate)));
    }
  }

  /** Guards against instances that disagree for long on which of them issues the permits. */
  @ParameterizedTest
  @CsvSource({"9, 3, 2.5", "9, 3, 5"})
  void fleetWithLossyLinksKeepsToRate(int instances, int domains, double rate) {
    for (int seed = 1; seed <= 6; seed++) {
      start(instances, domains, seed);
      simulateCalls(6_000, rate);
      for (int round = 0; round < 120; round++) {
        List<Node> all = fleet.running();
        for (int link = 0; link < 8; link++) {
          Node from = all.get(random.nextInt(all.size()));
          Node to = all.get(random.nextInt(all.size()));
          fleet.loseMessages(from, to, 500 + random.nextInt(2_500));
        }
        simulateCalls(250, rate);
      }
      assertThat("seed " + seed, mostInWindow(), lessThanOrEqualTo(allowed(rate)));
    }
  }

  /** Guards against a limit that outlasts its announcement at instances that send nothing. */
  @Test
  void endOfLimitReachesAllInstances() {
    start(24, 6, 1);
    simulateCalls(3_000, 2.5);
    Node observer = fleet.running().get(7);
    fleet.run(2_000);
    observer.rateLimits.record(
        new LimitObservation(
            INCARNATION, OptionalDouble.empty(), fleet.nowMillis(), ObservationSource.LOCAL));
    fleet.run(3_000);

    for (Node node : fleet.running()) {
      assertThat(node.rateLimits.requestsPerSecond(INCARNATION), is(OptionalDouble.empty()));
    }
  }

  private void start(int instances, int domains, int seed) {
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fleet = SimulatedFleet.of(instances, Arrays.copyOf(names, domains));
    random = new Random(seed);
    toldAtMillis.clear();
    excusedUntilMillis.clear();
    countedSends.clear();
    allSends.clear();
    fleet.run(15_000);
  }

  private void injectFault(double rate) {
    List<Node> running = fleet.running();
    List<Node> near =
        running.stream().filter(node -> node.self.domain().equals(ENDPOINT.domain())).toList();
    List<Node> choice = near.isEmpty() || random.nextInt(4) == 0 ? running : near;
    Node victim = choice.get(random.nextInt(choice.size()));
    switch (random.nextInt(3)) {
      case 0 -> {
        excuse(victim);
        fleet.kill(victim);
        simulateCalls(random.nextInt(5_000), rate);
        fleet.restart(victim);
        excuse(victim);
      }
      case 1 -> {
        excuse(victim);
        fleet.pause(victim);
        simulateCalls(random.nextInt(5_000), rate);
        fleet.resume(victim);
        excuse(victim);
      }
      default -> {
        excuse(victim);
        fleet.restart(victim);
      }
    }
  }

  private void excuse(Node node) {
    excusedUntilMillis.put(name(node), fleet.nowMillis() + EXCUSED_MILLIS);
  }

  private void simulateCalls(long millis, double rate) {
    long endMillis = fleet.nowMillis() + millis;
    while (fleet.nowMillis() < endMillis) {
      fleet.run(STEP_MILLIS);
      for (Node node : fleet.active()) {
        if (random.nextDouble() < CALLS_PER_SECOND * STEP_MILLIS / 1_000) {
          call(node, rate);
        }
      }
    }
  }

  /** Sends a call if it is permitted; its response announces the limit. */
  private void call(Node node, double rate) {
    long nowMillis = fleet.nowMillis();
    toldAtMillis.computeIfPresent(
        node.self.incarnation(),
        (incarnation, atMillis) -> {
          if (atMillis <= nowMillis) {
            node.rateLimits.record(
                new LimitObservation(
                    INCARNATION, OptionalDouble.of(rate), atMillis, ObservationSource.LOCAL));
          }
          return atMillis;
        });
    long patienceMillis = random.nextInt(2) * 240L;
    PermitDecision decision = node.permits.request(ENDPOINT, patienceMillis).await().indefinitely();
    if (!decision.granted()) {
      return;
    }
    long sentMillis = nowMillis + decision.delayMillis();
    allSends.add(sentMillis);
    Long told = toldAtMillis.putIfAbsent(node.self.incarnation(), sentMillis + RESPONSE_MILLIS);
    boolean bound = told != null && sentMillis >= told + REACTION_MILLIS;
    if (bound && sentMillis >= excusedUntilMillis.getOrDefault(name(node), 0L)) {
      countedSends.add(sentMillis);
    }
  }

  private static String name(Node node) {
    return node.self.incarnation().instance().value();
  }

  /** What the users allow in a window: one and a half times the rate, and five requests. */
  private static int allowed(double rate) {
    return (int) (1.5 * rate * WINDOW_MILLIS / 1_000 + 5);
  }

  private int mostInWindow() {
    List<Long> sends = countedSends.stream().sorted().toList();
    int most = 0;
    for (int first = 0, next = 0; first < sends.size(); first++) {
      while (next < sends.size() && sends.get(next) - sends.get(first) < WINDOW_MILLIS) {
        next++;
      }
      most = Math.max(most, next - first);
    }
    return most;
  }
}
