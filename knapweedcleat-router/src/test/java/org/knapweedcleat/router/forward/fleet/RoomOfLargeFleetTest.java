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
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.fleet.FakeFleet.Node;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;

/** The pattern: streams come at many instances at once and share the room of a region's engines. */
class RoomOfLargeFleetTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final RegionId NEAR = RegionId.of("near");
  private static final RegionId FAR = RegionId.of("far");
  private static final int PLACES = 20;
  private static final long STREAM_TOKENS = 1_000;

  private final FakeFleet fleet = FakeFleet.of(36, "a", "b", "c", "d", "e", "f");

  @BeforeEach
  void join() {
    fleet.living().forEach(RoomOfLargeFleetTest::publish);
    fleet.run(6_000);
  }

  @Test
  void allAgreeOnTheKeeperOfEachRegion() {
    assertThat(keepers(NEAR).size(), is(1));
    assertThat(keepers(FAR).size(), is(1));
    assertThat(keepers(NEAR), is(not(keepers(FAR))));
  }

  /** By news that is a second old, each instance took the same room. */
  @Test
  void roomIsGivenOnce() {
    int given = 0;
    for (Node node : fleet.living()) {
      if (isKeeper(node)) {
        continue;
      }
      given +=
          ask(node, "call-" + node.self.incarnation())
                  .filter(StreamPlacementReply::hasCapacity)
                  .isPresent()
              ? 1
              : 0;
    }

    assertThat(given, is(PLACES));
  }

  @Test
  void roomOfKilledInstanceIsGivenAgain() {
    List<Node> holders = new ArrayList<>();
    for (Node node : fleet.living()) {
      if (ask(node, "call").filter(StreamPlacementReply::hasCapacity).isPresent()) {
        holders.add(node);
      }
    }
    Node killed = holders.stream().filter(node -> !isKeeper(node)).findFirst().orElseThrow();
    fleet.restart(killed);
    fleet.run(5_000);

    Node asker = fleet.living().stream().filter(node -> !isKeeper(node)).findFirst().orElseThrow();
    assertThat(ask(asker, "later").filter(StreamPlacementReply::hasCapacity).isPresent(), is(true));
  }

  @Test
  void silentKeeperIsNotAskedForSomeTime() {
    Node asker = fleet.living().stream().filter(node -> !isKeeper(node)).findFirst().orElseThrow();
    Node keeper = fleet.living().stream().filter(this::isKeeper).findFirst().orElseThrow();
    fleet.kill(keeper);

    assertThat(ask(asker, "call"), is(Optional.empty()));
    assertThat(asker.rooms.coordinator(NEAR, SERVICE), is(Optional.empty()));
  }

  @Test
  void anotherInstanceKeepsTheRoomAfterTheKeeperIsKilled() {
    final Set<FleetMember> before = keepers(NEAR);
    fleet.living().stream().filter(this::isKeeper).toList().forEach(fleet::kill);
    fleet.run(8_000);

    assertThat(keepers(NEAR).size(), is(1));
    assertThat(keepers(NEAR), is(not(before)));
  }

  @Test
  void smallFleetHasNoKeepers() {
    FakeFleet small = FakeFleet.of(8, "a", "b", "c");
    small.run(2_000);

    assertThat(small.living().get(0).rooms.queryRegions(), is(empty()));
  }

  private boolean isKeeper(Node node) {
    return node.rooms.coordinator(NEAR, SERVICE).filter(node.self::equals).isPresent();
  }

  private Set<FleetMember> keepers(RegionId region) {
    return fleet.living().stream()
        .map(node -> node.rooms.coordinator(region, SERVICE).orElseThrow())
        .collect(Collectors.toSet());
  }

  private static Optional<StreamPlacementReply> ask(Node node, String request) {
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
            keeper ->
                node.rooms
                    .ask(keeper, question)
                    .map(Optional::of)
                    .onFailure()
                    .recoverWithItem(Optional.empty())
                    .await()
                    .indefinitely());
  }

  private static void publish(Node node) {
    EngineProfile engine = new EngineProfile(64, PLACES * STREAM_TOKENS / 2, 500, 13);
    RoutingContent config =
        new RoutingContent(
            1,
            List.of(),
            List.of(new ServiceProfile(SERVICE, 100, engine)),
            false,
            List.of(),
            RequestLimits.INITIAL);
    node.directory.listed(PublishedKind.CONFIG, List.of(new PublishedItem.Config(config, 5)), 5);
    node.directory.listed(
        PublishedKind.ENDPOINTS,
        List.of(engine("i-1", "a"), engine("i-2", "b"), engine("i-3", "d")),
        5);
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
        5);
  }
}
