package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.balance.SpeedMeasure;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;

/** One of four engines of a region is slow, and each instance has few streams there. */
class FleetEngineSpeedTest {

  private static final StorePosition POSITION = StorePosition.of(1, 5);
  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final RegionId NEAR = RegionId.of("near");
  private static final double STEP_MILLIS = 45;
  private static final double SLOW_FACTOR = 3;

  private final List<EndpointEntry> engines = new ArrayList<>();

  FleetEngineSpeedTest() {
    for (int i = 0; i < 4; i++) {
      engines.add(engine("near-" + i, i % 2 == 0 ? "a" : "b"));
    }
  }

  /** Guards against a coordinator that places streams without what their holders have seen. */
  @Test
  void coordinatorLearnsSlowEngineFromManyInstances() {
    SimulatedFleet fleet = fleet(24);
    observe(fleet, 4_000);

    Node coordinator = coordinator(fleet);
    assertThat(factor(fleet, coordinator, 0), is(closeTo(SLOW_FACTOR, 0.01)));
    for (int i = 1; i < engines.size(); i++) {
      assertThat(factor(fleet, coordinator, i), is(1.0));
    }
  }

  /** Guards against estimates that stay in force while no notices arrive. */
  @Test
  void estimatesExpireWithoutNotices() {
    SimulatedFleet fleet = fleet(24);
    observe(fleet, 4_000);
    fleet.run(9_000);
    assertThat(factor(fleet, coordinator(fleet), 0), is(closeTo(SLOW_FACTOR, 0.01)));

    fleet.run(1_500);

    assertThat(factor(fleet, coordinator(fleet), 0), is(1.0));
  }

  @Test
  void newCoordinatorStartsWithoutEstimatesAndLearnsThem() {
    SimulatedFleet fleet = fleet(24);
    observe(fleet, 4_000);
    fleet.kill(coordinator(fleet));
    fleet.run(8_000);
    Node successor = coordinator(fleet);

    observe(fleet, 4_000);

    assertThat(factor(fleet, successor, 0), is(closeTo(SLOW_FACTOR, 0.01)));
  }

  /** Guards against a frozen instance, which sees all engines as slow. */
  @Test
  void slownessOfAnInstanceItselfCancelsOut() {
    SimulatedFleet fleet = fleet(24);
    for (long millis = 0; millis < 4_000; millis += 500) {
      for (Node node : fleet.running()) {
        double ownFactor = node == fleet.running().get(5) ? 20 : 1;
        engines.forEach(engine -> record(fleet, node, engine, STEP_MILLIS * ownFactor));
      }
      fleet.run(500);
    }

    for (int i = 0; i < engines.size(); i++) {
      assertThat(factor(fleet, coordinator(fleet), i), is(1.0));
    }
  }

  @Test
  void instanceOfSmallFleetUsesItsOwnObservations() {
    SimulatedFleet fleet = fleet(8);
    Node observer = fleet.running().get(0);
    for (int i = 0; i < 8; i++) {
      observeOnce(fleet, observer);
      fleet.run(500);
    }

    assertThat(factor(fleet, observer, 0), is(closeTo(SLOW_FACTOR, 0.01)));
    assertThat(factor(fleet, fleet.running().get(1), 0), is(1.0));
  }

  /** Each instance other than the coordinator observes all engines every two seconds. */
  private void observe(SimulatedFleet fleet, long durationMillis) {
    for (int i = 0; i < durationMillis / 500; i++) {
      List<Node> nodes = fleet.running();
      for (int j = 0; j < nodes.size(); j++) {
        if (j % 4 == i % 4 && nodes.get(j) != coordinator(fleet)) {
          observeOnce(fleet, nodes.get(j));
        }
      }
      fleet.run(500);
    }
  }

  private void observeOnce(SimulatedFleet fleet, Node node) {
    for (EndpointEntry engine : engines) {
      record(fleet, node, engine, STEP_MILLIS * (engine == engines.get(0) ? SLOW_FACTOR : 1));
    }
  }

  private static void record(
      SimulatedFleet fleet, Node node, EndpointEntry engine, double stepMillis) {
    node.speeds.record(fleet.nowMillis(), engine, SpeedMeasure.STEP, stepMillis);
  }

  private double factor(SimulatedFleet fleet, Node node, int engine) {
    return node.speeds.stepFactor(fleet.nowMillis(), engines.get(engine));
  }

  private static Node coordinator(SimulatedFleet fleet) {
    return fleet.running().stream()
        .filter(node -> node.rooms.coordinator(NEAR, SERVICE).filter(node.self::equals).isPresent())
        .findFirst()
        .orElseThrow();
  }

  private SimulatedFleet fleet(int instances) {
    SimulatedFleet fleet = SimulatedFleet.of(instances, "a", "b", "c", "d");
    List<PublishedItem> items = new ArrayList<>();
    engines.forEach(engine -> items.add(new PublishedItem.Endpoint(engine, POSITION)));
    fleet
        .running()
        .forEach(node -> node.directory.onListed(PublishedKind.ENDPOINTS, items, POSITION));
    fleet.run(6_000);
    return fleet;
  }

  private static EndpointEntry engine(String id, String domain) {
    return new EndpointEntry(
        EndpointId.of(id),
        1,
        SERVICE,
        "10.2.0.1",
        80,
        FailureDomainId.of(domain),
        EndpointStage.DECODE,
        64,
        false);
  }
}
