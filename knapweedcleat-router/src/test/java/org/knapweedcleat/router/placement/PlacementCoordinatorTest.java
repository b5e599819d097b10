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
  private final FakeSchedulerClient link = new FakeSchedulerClient();
  private final List<PlacementDecision> decisions = new ArrayList<>();
  private final Member self = member("a-0", "a");
  private final Member near = member("a-1", "a");
  private final Member far = member("b-1", "b");
  private final LocalSchedulers local = newSchedulers();
  private long nowMillis;

  @Test
  void placesAloneAtOnceWhenTheSchedulerIsLost() {
    PlacementCoordinator desk = desk(view(near));
    place(desk);
    link.lose(0);
    assertThat(decisions.get(0), instanceOf(PlacementDecision.Plain.class));
    assertThat(metrics.counter("placement.alone").getCount(), is(1L));
  }

  @Test
  void asksTheNextFailureDomainWhenTheFirstRefuses() {
    PlacementCoordinator desk = desk(view(near, far));
    place(desk);
    link.answer(0, link.refusal(0));
    assertThat(link.askedOf(1), is(far.incarnation()));
    link.answer(1, link.placement(1));
    assertThat(decisions, contains(placed("qb")));
  }

  @Test
  void asksTheNewSchedulerAndCancelsTheDecisionThatComesTooLate() {
    PlacementCoordinator desk = desk(view(near));
    place(desk);
    Member next = new Member(incarnation("a-1", 2), near.domain(), near.host(), 1, false);
    desk.updateMembers(view(next));
    link.answer(1, link.placement(1));
    link.answer(0, link.placement(0));
    assertThat(decisions, contains(placed("qb")));
    assertThat(link.told, contains(Map.entry(near.incarnation(), PlacementStage.CANCELLED)));
  }

  @Test
  void refusesAtTheDeadlineAndWithdrawsTheQuestion() {
    PlacementCoordinator desk = desk(view(near));
    place(desk);
    nowMillis = 4_999;
    desk.tick();
    assertThat(decisions, empty());
    nowMillis = 5_000;
    desk.tick();
    assertThat(decisions.get(0), instanceOf(PlacementDecision.Refused.class));
    assertThat(link.told, contains(Map.entry(near.incarnation(), PlacementStage.CANCELLED)));
  }

  @Test
  void reportsProgressWhereThePlacementWasMade() {
    PlacementCoordinator desk = desk(view(near));
    place(desk);
    link.answer(0, link.placement(0));
    assertThat(desk.placingSchedulers(POOL), is(Set.of(near.incarnation())));
    desk.report(new PlacementProgress(request().request(), 1, PlacementStage.FINISHED, 0));
    assertThat(link.told, contains(Map.entry(near.incarnation(), PlacementStage.FINISHED)));
    assertThat(desk.placingSchedulers(POOL), empty());
  }

  @Test
  void forgetsWhatWasRelayedForInstanceThatNeverReportsAnEnd() {
    PlacementCoordinator desk = desk(view(near));
    place(desk);
    link.answer(0, link.placement(0));
    PlacementRequest foreign = request(far.incarnation());
    desk.relay(foreign).subscribe().with(decisions::add);
    link.answer(1, link.placement(1));
    nowMillis = 600_001;
    desk.tick();
    assertThat(desk.placedRequests(POOL), is(Set.of(request().request())));
  }

  private void place(PlacementCoordinator desk) {
    desk.place(request()).subscribe().with(decisions::add);
  }

  private PlacementCoordinator desk(MembershipView view) {
    return PlacementCoordinator.of(view, local, link, () -> nowMillis, metrics);
  }

  /** The own instance is leaving, so that another one schedules. */
  private MembershipView view(Member... others) {
    List<Member> live = new ArrayList<>(List.of(others));
    live.add(new Member(self.incarnation(), self.domain(), self.host(), 1, true));
    Member leaving = live.get(live.size() - 1);
    Set<InstanceId> possible = Set.of(self.id(), near.id());
    return new MembershipView(
        leaving, live, possible, Set.of(), Map.of(), Revision.NONE, 1, true, false);
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
    private final List<ReceivedRequest> asked = new ArrayList<>();
    private final List<Map.Entry<IncarnationId, PlacementStage>> told = new ArrayList<>();

    @Override
    public Uni<PeerMessage> ask(IncarnationId scheduler, PeerMessage question, long timeoutMillis) {
      return Uni.createFrom()
          .emitter(
              emitter -> asked.add(new ReceivedRequest(scheduler, (PlacementRequest) question, emitter)));
    }

    @Override
    public void send(IncarnationId scheduler, PeerMessage message) {
      told.add(Map.entry(scheduler, ((PlacementProgress) message).stage()));
    }

    IncarnationId askedOf(int index) {
      return asked.get(index).scheduler();
    }

    void answer(int index, PeerMessage answer) {
      asked.get(index).emitter().complete(answer);
    }

    void lose(int index) {
      ReceivedRequest lost = asked.get(index);
      lost.emitter().fail(new InstanceUnreachableException(lost.scheduler(), true));
    }

    PlacementDecision placement(int index) {
      PlacementRequest request = asked.get(index).request();
      return new PlacementDecision.Plain(request.request(), request.attempt(), EndpointId.of("qb"));
    }

    PlacementDecision refusal(int index) {
      PlacementRequest request = asked.get(index).request();
      return new PlacementDecision.Refused(
          request.request(), request.attempt(), RefusalReason.QUEUE_FULL, 100);
    }
  }
}
