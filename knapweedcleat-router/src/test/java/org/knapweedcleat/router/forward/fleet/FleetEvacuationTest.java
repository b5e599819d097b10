package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.store.PublishedItem;

/** Evacuations that only some instances of a fleet read from the store. */
class FleetEvacuationTest {

  /** Time within which an evacuation has to be in force. */
  private static final long EVACUATE_MILLIS = 5_000;

  private static final long JOIN_MILLIS = 10_000;
  private static final long OUTAGE_MILLIS = 60_000;
  private static final FailureDomainId EVACUATED = FailureDomainId.of("a");
  private static final FailureDomainId WITHOUT_STORE = FailureDomainId.of("c");

  private SimulatedFleet fleet;

  /** Guards against instances that do not read the store and miss an evacuation or its end. */
  @ParameterizedTest
  @CsvSource({"9, 3", "96, 6"})
  void evacuationAndItsEndReachAllInstances(int instances, int domains) {
    start(instances, domains);
    fleet.disconnectFromStore(WITHOUT_STORE);

    publish(true);
    fleet.run(EVACUATE_MILLIS);
    assertThat(evacuating(), hasSize(instances));

    publish(false);
    fleet.run(EVACUATE_MILLIS);
    assertThat(evacuating(), empty());
  }

  /** Guards against an evacuation that ends, or is unknown to new instances, without the store. */
  @ParameterizedTest
  @CsvSource({"9, 3", "96, 6"})
  void evacuationStaysInForceWithoutStore(int instances, int domains) {
    start(instances, domains);
    publish(true);
    fleet.run(EVACUATE_MILLIS);
    fleet.running().forEach(fleet::disconnectFromStore);
    fleet.run(OUTAGE_MILLIS);
    Node restarted = fleet.running().get(instances - 1);
    fleet.kill(restarted);
    fleet.restart(restarted);
    fleet.run(EVACUATE_MILLIS);

    assertThat(evacuating(), hasSize(instances));
  }

  /** Guards against an instance of an old copy's knowledge that restores an ended evacuation. */
  @ParameterizedTest
  @CsvSource({"9, 3", "96, 6"})
  void evacuationPublishedAgainAfterRestorationNeverEnds(int instances, int domains) {
    start(instances, domains);
    publish(true);
    fleet.run(EVACUATE_MILLIS);
    fleet.restoreStore(StorePosition.of(2, 5));
    for (int i = 0; i < 20; i++) {
      fleet.run(100);
      assertThat(evacuating(), hasSize(instances));
    }
    publish(true);
    for (int i = 0; i < 100; i++) {
      fleet.run(100);
      assertThat(evacuating(), hasSize(instances));
    }
    publish(false);
    fleet.run(EVACUATE_MILLIS);

    assertThat(evacuating(), empty());
  }

  private void start(int instances, int domains) {
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fleet = SimulatedFleet.of(instances, Arrays.copyOf(names, domains));
    fleet.run(JOIN_MILLIS);
  }

  private void publish(boolean evacuated) {
    fleet.publishByOperators(
        new PublishedItem.Evacuation(EVACUATED, evacuated, fleet.nextPosition()));
  }

  private List<Node> evacuating() {
    return fleet.running().stream()
        .filter(node -> node.directory.eligibility().evacuations().isEvacuated(EVACUATED))
        .toList();
  }
}
