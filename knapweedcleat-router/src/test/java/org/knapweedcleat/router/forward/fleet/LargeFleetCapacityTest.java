package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;

/** Streams arrive at many instances at once and share the capacity of a region's engines. */
class LargeFleetCapacityTest {

  private static final StorePosition POSITION = StorePosition.of(1, 5);

  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final RegionId NEAR = RegionId.of("near");
  private static final RegionId FAR = RegionId.of("far");
  private static final int STREAM_CAPACITY = 20;
  private static final long STREAM_TOKENS = 1_000;

  private final SimulatedFleet fleet = SimulatedFleet.of(36, "a", "b", "c", "d", "e", "f");

  @BeforeEach
  void joinFleet() {
    fleet.running().forEach(LargeFleetCapacityTest::publish);
    fleet.run(6_000);
  }

  @Test
  void allInstancesAgreeOnCoordinatorOfEachRegion() {
    assertThat(coordinators(NEAR).size(), is(1));
    assertThat(coordinators(FAR).size(), is(1));
    assertThat(coordinators(NEAR), is(not(coordinators(FAR))));
  }

  /** Guards against instances reserving the same capacity based on second-old gossip. */
  @Test
  void capacityIsReservedOnlyOnce() {
    int reserved = 0;
    for (Node node : fleet.running()) {
      if (isCoordinator(node)) {
        continue;
      }
      reserved +=
          reserve(node, "call-" + node.self.incarnation())
                  .filter(StreamPlacementReply::hasCapacity)
                  .isPresent()
              ? 1
              : 0;
    }

    assertThat(reserved, is(STREAM_CAPACITY));
  }

  @Test
  void capacityOfRestartedInstanceIsReleased() {
    List<Node> holders = new ArrayList<>();
    for (Node node : fleet.running()) {
      if (reserve(node, "call").filter(StreamPlacementReply::hasCapacity).isPresent()) {
        holders.add(node);
      }
    }
    Node restarted =
        holders.stream().filter(node -> !isCoordinator(node)).findFirst().orElseThrow();
    fleet.restart(restarted);
    fleet.run(5_000);

    Node requester =
        fleet.running().stream().filter(node -> !isCoordinator(node)).findFirst().orElseThrow();
    assertThat(
        reserve(requester, "later").filter(StreamPlacementReply::hasCapacity).isPresent(),
        is(true));
  }

  @Test
  void unresponsiveCoordinatorIsAvoided() {
    Node requester =
        fleet.running().stream().filter(node -> !isCoordinator(node)).findFirst().orElseThrow();
    Node coordinator =
        fleet.running().stream().filter(this::isCoordinator).findFirst().orElseThrow();
    fleet.kill(coordinator);

    assertThat(reserve(requester, "call"), is(Optional.empty()));
    assertThat(requester.rooms.coordinator(NEAR, SERVICE), is(Optional.empty()));
  }

  @Test
  void newCoordinatorReplacesKilledOne() {
    final Set<FleetMember> previous = coordinators(NEAR);
    fleet.running().stream().filter(this::isCoordinator).toList().forEach(fleet::kill);
    fleet.run(8_000);

    assertThat(coordinators(NEAR).size(), is(1));
    assertThat(coordinators(NEAR), is(not(previous)));
  }

  @Test
  void smallFleetHasNoCoordinators() {
    SimulatedFleet smallFleet = SimulatedFleet.of(8, "a", "b", "c");
    smallFleet.run(2_000);

    assertThat(smallFleet.running().get(0).rooms.queryRegions(), is(empty()));
  }

  private boolean isCoordinator(Node node) {
    return node.rooms.coordinator(NEAR, SERVICE).filter(node.self::equals).isPresent();
  }

  private Set<FleetMember> coordinators(RegionId region) {
    return fleet.running().stream()
        .map(node -> node.rooms.coordinator(region, SERVICE).orElseThrow())
        .collect(Collectors.toSet());
  }

  private static Optional<StreamPlacementReply> reserve(Node node, String request) {
    StreamPlacementQuery question =
        new StreamPlacementQuery(
            SERVICE.value(),
            request,
            14_000,
            STREAM_TOKENS,
            STREAM_TOKENS,
            true,
            List.of(),
            1,
            0,
            List.of(),
            List.of());
    return node.rooms
        .coordinator(NEAR, SERVICE)
        .flatMap(
            coordinator ->
                node.rooms
                    .ask(coordinator, question)
                    .map(Optional::of)
                    .onFailure()
                    .recoverWithItem(Optional.empty())
                    .await()
                    .indefinitely());
  }

  private static void publish(Node node) {
    EngineProfile engine = new EngineProfile(64, STREAM_CAPACITY * STREAM_TOKENS / 2, 500, 13);
    RoutingContent config =
        new RoutingContent(
            1,
            List.of(),
            List.of(new ServiceProfile(SERVICE, 100, engine)),
            false,
            List.of(),
            RequestLimits.INITIAL);
    node.directory.onListed(
        PublishedKind.CONFIG, List.of(new PublishedItem.Config(config, POSITION)), POSITION);
    node.directory.onListed(
        PublishedKind.ENDPOINTS,
        List.of(engine("i-1", "a"), engine("i-2", "b"), engine("i-3", "d")),
        POSITION);
  }

  private static PublishedItem engine(String id, String domain) {
    return new PublishedItem.Endpoint(
        new EndpointEntry(
            EndpointId.of(id),
            1,
            SERVICE,
            "10.2.0.1",
            80,
            FailureDomainId.of(domain),
            EndpointStage.DECODE,
            64,
            false),
        POSITION);
  }
}
