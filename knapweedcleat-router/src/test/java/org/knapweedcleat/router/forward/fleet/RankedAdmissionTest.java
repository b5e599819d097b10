package org.knapweedcleat.router.forward.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.CallKind;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.directory.ServiceShare;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.router.forward.fleet.SimulatedFleet.Node;
import org.knapweedcleat.router.forward.room.StreamAdmissionQuery;
import org.knapweedcleat.router.forward.room.StreamAdmissionReply;
import org.knapweedcleat.router.forward.room.StreamAdmissionReply.Outcome;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;

/** Streams of several ranks at many instances wait for the engines of a region. */
class RankedAdmissionTest {

  private static final StorePosition POSITION = StorePosition.of(1, 5);
  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final RegionId NEAR = RegionId.of("near");
  private static final long STREAM_TOKENS = 1_000;
  private static final int STREAM_CAPACITY = 9;

  private final SimulatedFleet fleet = SimulatedFleet.of(24, "a", "b", "c", "d");
  private final List<String> notices = new ArrayList<>();

  @BeforeEach
  void joinFleet() {
    fleet.running().forEach(node -> publish(node, 0, 2));
    fleet.run(6_000);
  }

  /** Guards against a change for services whose routes have one rank, and for small fleets. */
  @Test
  void queueIsInForceOnlyWhereRoutesDifferInRank() {
    assertThat(holder(0).rooms.isQueued(SERVICE), is(true));

    SimulatedFleet oneRank = SimulatedFleet.of(24, "a", "b", "c", "d");
    oneRank.running().forEach(node -> publish(node, 1, 1));
    oneRank.run(6_000);
    assertThat(oneRank.running().get(0).rooms.isQueued(SERVICE), is(false));

    SimulatedFleet small = SimulatedFleet.of(8, "a", "b");
    small.running().forEach(node -> publish(node, 0, 2));
    small.run(2_000);
    assertThat(small.running().get(0).rooms.isQueued(SERVICE), is(false));
  }

  /** Guards against the order of polls, instead of the rank, deciding who gets free capacity. */
  @Test
  void releasedCapacityGoesToMostUrgentStream() {
    fill();
    assertThat(ask(holder(1), "less-urgent", 2, 0).outcome(), is(Outcome.QUEUED));
    assertThat(ask(holder(2), "urgent", 0, 0).outcome(), is(Outcome.QUEUED));

    end(holder(0), "fill-0");
    fleet.run(100);

    assertThat(notices, is(List.of("urgent PLACED")));
  }

  /** Guards against an instance that has ended keeping positions ahead of live streams. */
  @Test
  void endedHolderLosesItsPositions() {
    fill();
    Node ended = holder(9);
    ask(ended, "urgent", 0, 0);
    fleet.restart(ended);
    fleet.run(5_000);
    assertThat(ask(holder(2), "less-urgent", 2, 0).outcome(), is(Outcome.QUEUED));
    end(holder(0), "fill-0");
    fleet.run(100);

    assertThat(notices, is(List.of("less-urgent PLACED")));
  }

  /** Guards against positions being lost with the coordinator: holders that ask again keep them. */
  @Test
  void successorRebuildsQueueFromRepeatedQueries() {
    fill();
    final Node first = holder(1);
    final Node second = holder(2);
    ask(first, "early", 1, 0);
    ask(second, "late", 1, 0);
    fleet.kill(coordinatorNode());
    fleet.run(8_000);
    for (int i = 0; i < STREAM_CAPACITY; i++) {
      ask(holder(0), "fill-" + i, 1, 0);
    }
    ask(second, "late", 1, 200);
    ask(first, "early", 1, 700);
    end(holder(0), "fill-0");
    fleet.run(100);

    assertThat(notices, is(List.of("early PLACED")));
  }

  /** Guards against capacity that stays reserved for a stream that ended before its grant. */
  @Test
  void grantForEndedStreamIsReleased() {
    fill();
    Node holder = holder(1);
    askWithoutListener(holder, "gone", 0);
    end(holder(0), "fill-0");
    fleet.run(100);

    assertThat(notices, is(empty()));
    assertThat(ask(holder(2), "next", 0, 0).outcome(), is(Outcome.PLACED));
  }

  /** Guards against a second reservation when a holder asks while its grant is on the way. */
  @Test
  void repeatedQueryDoesNotReserveTwice() {
    fill();
    end(holder(0), "fill-0");
    fleet.run(100);
    StreamAdmissionReply granted = ask(holder(1), "one", 1, 0);
    StreamAdmissionReply repeated = ask(holder(1), "one", 1, 100);

    assertThat(granted.outcome(), is(Outcome.PLACED));
    assertThat(repeated, is(granted));
    assertThat(ask(holder(2), "two", 1, 0).outcome(), is(Outcome.QUEUED));
  }

  /** Guards against repeating a grant of an engine that the holder cannot use, without end. */
  @Test
  void grantOfUnusableEngineIsNotRepeated() {
    assertThat(ask(holder(0), "one", 1, 0).outcome(), is(Outcome.PLACED));

    StreamAdmissionReply repeated = ask(holder(0), admission("one", 1, 100, List.of("i-1")));
    assertThat(repeated.outcome(), is(Outcome.QUEUED));
  }

  /** Guards against holding calls that cannot be served; lower ranks return later. */
  @Test
  void burstIsRefusedAtOnceWithRetryTimeByRank() {
    fill();
    long urgentMillis = 0;
    long otherMillis = 0;
    int queued = 0;
    for (int i = 0; i < 100; i++) {
      StreamAdmissionReply urgent = ask(holder(1), "u-" + i, 0, 0);
      final StreamAdmissionReply other = ask(holder(2), "o-" + i, 2, 0);
      queued += urgent.outcome() == Outcome.QUEUED ? 1 : 0;
      urgentMillis = urgent.waitMillis();
      otherMillis = other.waitMillis();
    }

    assertThat(queued, lessThan(50));
    assertThat(otherMillis, greaterThan(urgentMillis));
  }

  private void fill() {
    for (int i = 0; i < STREAM_CAPACITY; i++) {
      assertThat(ask(holder(0), "fill-" + i, 1, 0).outcome(), is(Outcome.PLACED));
    }
  }

  private Node holder(int index) {
    return fleet.running().stream()
        .filter(node -> coordinator(node).filter(node.self::equals).isEmpty())
        .skip(index)
        .findFirst()
        .orElseThrow();
  }

  private Node coordinatorNode() {
    return fleet.running().stream()
        .filter(node -> coordinator(node).filter(node.self::equals).isPresent())
        .findFirst()
        .orElseThrow();
  }

  private static Optional<FleetMember> coordinator(Node node) {
    return node.rooms.coordinator(NEAR, SERVICE);
  }

  private void end(Node node, String request) {
    node.rooms.notifyEnded(coordinator(node).orElseThrow(), request);
  }

  private StreamAdmissionReply ask(Node node, String request, int rank, long waitedMillis) {
    node.rooms.addListener(request, (from, reply) -> notices.add(request + " " + reply.outcome()));
    return askWithoutListener(node, request, rank, waitedMillis);
  }

  private static StreamAdmissionReply ask(Node node, StreamAdmissionQuery query) {
    return node.rooms.ask(coordinator(node).orElseThrow(), query).await().indefinitely();
  }

  private static StreamAdmissionReply askWithoutListener(Node node, String request, int rank) {
    return askWithoutListener(node, request, rank, 0);
  }

  private static StreamAdmissionReply askWithoutListener(
      Node node, String request, int rank, long waitedMillis) {
    return ask(node, admission(request, rank, waitedMillis, List.of()));
  }

  private static StreamAdmissionQuery admission(
      String request, int rank, long waitedMillis, List<String> unusableEngines) {
    StreamPlacementQuery stream =
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
            unusableEngines);
    return new StreamAdmissionQuery(stream, true, false, rank, "", 6_000, 6_000, waitedMillis);
  }

  private static void publish(Node node, int... ranks) {
    EngineProfile engine = new EngineProfile(64, STREAM_TOKENS * 10, 500, 13);
    List<ForwardRoute> routes = new ArrayList<>();
    for (int i = 0; i < ranks.length; i++) {
      routes.add(
          new ForwardRoute(
              "r-" + i,
              "h",
              "/" + i + "/",
              CallKind.STREAM,
              true,
              true,
              14_000,
              900,
              300,
              2,
              ranks[i],
              List.of(new ServiceShare(SERVICE, 1)),
              Set.of()));
    }
    RoutingContent config =
        new RoutingContent(
            1,
            routes,
            List.of(new ServiceProfile(SERVICE, 100, engine)),
            false,
            List.of(),
            RequestLimits.INITIAL);
    node.directory.onListed(
        PublishedKind.CONFIG, List.of(new PublishedItem.Config(config, POSITION)), POSITION);
    node.directory.onListed(
        PublishedKind.ENDPOINTS,
        List.of(
            new PublishedItem.Endpoint(
                new EndpointEntry(
                    EndpointId.of("i-1"),
                    1,
                    SERVICE,
                    "10.2.0.1",
                    80,
                    FailureDomainId.of("a"),
                    EndpointStage.DECODE,
                    64,
                    false),
                POSITION)),
        POSITION);
  }
}
