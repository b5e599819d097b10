package org.knapweedcleat.router.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetDocumentParser;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.schedule.RefusalReason;
import org.knapweedcleat.core.schedule.SchedulePolicy;
import org.knapweedcleat.router.gate.InstanceUnreachableException;

class PlacementCoordinatorTest {

  private static final String DOCUMENT =
      """
      [deployment d]
      team = t
      [region r]
      team = t
      [domain a]
      team = t
      region = r
      [domain b]
      team = t
      region = r
      [pool desk]
      team = t
      kind = plain
      [service book]
      team = t
      pool = desk
      firstTokenTargetMillis = 500
      deadlineMillis = 5000
      [endpoint qa]
      team = t
      pool = desk
      role = plain
      domain = a
      host = 127.0.0.1
      port = 1
      [endpoint qb]
      team = t
      pool = desk
      role = plain
      domain = b
      host = 127.0.0.1
      port = 2
      """;

  private static final PoolId POOL = PoolId.of("desk");

  private final MetricRegistry metrics = new MetricRegistry();
  private final FakeSchedulerClient schedulerClient = new FakeSchedulerClient();
  private final List<PlacementDecision> decisions = new ArrayList<>();
  private final Member self = member("a-0", "a");
  private final Member sameDomainPeer = member("a-1", "a");
  private final Member otherDomainPeer = member("b-1", "b");
  private final LocalSchedulers localSchedulers = newSchedulers();
  private long nowMillis;

  @Test
  void placesLocallyWhenSchedulerIsUnreachable() {
    PlacementCoordinator coordinator = newCoordinator(view(sameDomainPeer));
    place(coordinator);
    schedulerClient.failAsUnreachable(0);
    assertThat(decisions.get(0), instanceOf(PlacementDecision.Plain.class));
    assertThat(metrics.counter("placement.alone").getCount(), is(1L));
  }

  @Test
  void asksNextFailureDomainAfterRefusal() {
    PlacementCoordinator coordinator = newCoordinator(view(sameDomainPeer, otherDomainPeer));
    place(coordinator);
    schedulerClient.respond(0, schedulerClient.refusal(0));
    assertThat(schedulerClient.schedulerOfRequest(1), is(otherDomainPeer.incarnation()));
    schedulerClient.respond(1, schedulerClient.placement(1));
    assertThat(decisions, contains(placed("qb")));
  }

  @Test
  void asksNewSchedulerAndCancelsLateDecision() {
    PlacementCoordinator coordinator = newCoordinator(view(sameDomainPeer));
    place(coordinator);
    Member restartedPeer =
        new Member(incarnation("a-1", 2), sameDomainPeer.domain(), sameDomainPeer.host(), 1, false);
    coordinator.updateMembers(view(restartedPeer));
    schedulerClient.respond(1, schedulerClient.placement(1));
    schedulerClient.respond(0, schedulerClient.placement(0));
    assertThat(decisions, contains(placed("qb")));
    assertThat(
        schedulerClient.sentProgress,
        contains(Map.entry(sameDomainPeer.incarnation(), PlacementStage.CANCELLED)));
  }

  @Test
  void refusesAtDeadlineAndCancelsRequest() {
    PlacementCoordinator coordinator = newCoordinator(view(sameDomainPeer));
    place(coordinator);
    nowMillis = 4_999;
    coordinator.tick();
    assertThat(decisions, empty());
    nowMillis = 5_000;
    coordinator.tick();
    assertThat(decisions.get(0), instanceOf(PlacementDecision.Refused.class));
    assertThat(
        schedulerClient.sentProgress,
        contains(Map.entry(sameDomainPeer.incarnation(), PlacementStage.CANCELLED)));
  }

  @Test
  void sendsProgressToPlacingScheduler() {
    PlacementCoordinator coordinator = newCoordinator(view(sameDomainPeer));
    place(coordinator);
    schedulerClient.respond(0, schedulerClient.placement(0));
    assertThat(coordinator.placingSchedulers(POOL), is(Set.of(sameDomainPeer.incarnation())));
    coordinator.report(new PlacementProgress(request().request(), 1, PlacementStage.FINISHED, 0));
    assertThat(
        schedulerClient.sentProgress,
        contains(Map.entry(sameDomainPeer.incarnation(), PlacementStage.FINISHED)));
    assertThat(coordinator.placingSchedulers(POOL), empty());
  }

  @Test
  void expiresRelayedPlacementThatNeverReportsItsEnd() {
    PlacementCoordinator coordinator = newCoordinator(view(sameDomainPeer));
    place(coordinator);
    schedulerClient.respond(0, schedulerClient.placement(0));
    PlacementRequest relayedRequest = request(otherDomainPeer.incarnation());
    coordinator.relay(relayedRequest).subscribe().with(decisions::add);
    schedulerClient.respond(1, schedulerClient.placement(1));
    nowMillis = 600_001;
    coordinator.tick();
    assertThat(coordinator.placedRequests(POOL), is(Set.of(request().request())));
  }

  private void place(PlacementCoordinator coordinator) {
    coordinator.place(request()).subscribe().with(decisions::add);
  }

  private PlacementCoordinator newCoordinator(MembershipView view) {
    return PlacementCoordinator.of(
        view, localSchedulers, schedulerClient, () -> nowMillis, metrics);
  }

  /** Returns a view in which this instance is leaving, so that a peer is the scheduler. */
  private MembershipView view(Member... others) {
    List<Member> live = new ArrayList<>(List.of(others));
    live.add(new Member(self.incarnation(), self.domain(), self.host(), 1, true));
    Member leaving = live.get(live.size() - 1);
    Set<InstanceId> possibleInstances = Set.of(self.id(), sameDomainPeer.id());
    return new MembershipView(
        leaving, live, possibleInstances, Set.of(), Map.of(), Revision.NONE, 1, true, false);
  }

  private LocalSchedulers newSchedulers() {
    LocalSchedulers schedulers =
        LocalSchedulers.of(
            FailureDomainId.of("a"),
            SchedulePolicy.defaults(),
            InvariantMonitor.of(metrics),
            metrics,
            () -> nowMillis,
            (endpoint, request) -> {});
    FleetDocument document = FleetDocumentParser.parse("test", DOCUMENT).get();
    schedulers.configure(document);
    return schedulers;
  }

  private PlacementRequest request() {
    return request(self.incarnation());
  }

  private static PlacementRequest request(IncarnationId owner) {
    return new PlacementRequest(
        RequestId.of(owner, 1),
        1,
        owner,
        ServiceId.of("book"),
        AccountId.of("x"),
        true,
        0,
        0,
        List.of(),
        5_000);
  }

  private PlacementDecision placed(String endpoint) {
    return new PlacementDecision.Plain(request().request(), 1, EndpointId.of(endpoint));
  }

  private static Member member(String id, String domain) {
    return new Member(incarnation(id, 1), FailureDomainId.of(domain), "127.0.0.1", 1, false);
  }

  private static IncarnationId incarnation(String id, long number) {
    return IncarnationId.of(InstanceId.of(id), number);
  }

  private record ReceivedRequest(
      IncarnationId scheduler, PlacementRequest request, UniEmitter<? super PeerMessage> emitter) {}

  private static final class FakeSchedulerClient implements SchedulerClient {
    private final List<ReceivedRequest> requests = new ArrayList<>();
    private final List<Map.Entry<IncarnationId, PlacementStage>> sentProgress = new ArrayList<>();

    @Override
    public Uni<PeerMessage> ask(IncarnationId scheduler, PeerMessage request, long timeoutMillis) {
      return Uni.createFrom()
          .emitter(
              emitter ->
                  requests.add(
                      new ReceivedRequest(scheduler, (PlacementRequest) request, emitter)));
    }

    @Override
    public void send(IncarnationId scheduler, PeerMessage message) {
      sentProgress.add(Map.entry(scheduler, ((PlacementProgress) message).stage()));
    }

    IncarnationId schedulerOfRequest(int index) {
      return requests.get(index).scheduler();
    }

    void respond(int index, PeerMessage response) {
      requests.get(index).emitter().complete(response);
    }

    void failAsUnreachable(int index) {
      ReceivedRequest failedRequest = requests.get(index);
      failedRequest
          .emitter()
          .fail(new InstanceUnreachableException(failedRequest.scheduler(), true));
    }

    PlacementDecision placement(int index) {
      PlacementRequest request = requests.get(index).request();
      return new PlacementDecision.Plain(request.request(), request.attempt(), EndpointId.of("qb"));
    }

    PlacementDecision refusal(int index) {
      PlacementRequest request = requests.get(index).request();
      return new PlacementDecision.Refused(
          request.request(), request.attempt(), RefusalReason.QUEUE_FULL, 100);
    }
  }
}
