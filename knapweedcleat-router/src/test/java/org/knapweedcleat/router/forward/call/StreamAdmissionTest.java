package org.knapweedcleat.router.forward.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointAvailability;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.room.StreamAdmissionNotice;
import org.knapweedcleat.router.forward.room.StreamAdmissionQuery;
import org.knapweedcleat.router.forward.room.StreamAdmissionReply;
import org.knapweedcleat.router.forward.room.StreamAdmissionReply.Outcome;
import org.knapweedcleat.router.forward.room.StreamEndedNotice;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessenger;

/** A stream asks the coordinators of two regions, whose messages arrive in any order or not. */
class StreamAdmissionTest {

  private static final ServiceId SERVICE = ServiceId.of("notes");
  private static final RegionId NEAR = RegionId.of("near");
  private static final RegionId FAR = RegionId.of("far");
  private static final FailureDomainId OWN_DOMAIN = FailureDomainId.of("s");
  private static final FailureDomainId NEAR_DOMAIN = FailureDomainId.of("a");
  private static final FailureDomainId FAR_DOMAIN = FailureDomainId.of("b");
  private static final StreamPlacementReply ENGINES = new StreamPlacementReply("", "e-1", 100);
  private static final StreamPlacementReply NONE = new StreamPlacementReply("", "", 0);
  private static final StreamAdmissionReply PLACED =
      new StreamAdmissionReply(Outcome.PLACED, ENGINES, 0, 0);
  private static final StreamAdmissionReply QUEUED =
      new StreamAdmissionReply(Outcome.QUEUED, NONE, 300, 4);
  private static final StreamAdmissionReply REFUSED =
      new StreamAdmissionReply(Outcome.REFUSED, NONE, 1_500, 0);
  private static final StreamPlacementQuery STREAM =
      new StreamPlacementQuery(
          SERVICE.value(), "r-1", 9_000, 10, 10, true, List.of(), 1, 0, List.of(), List.of());
  private static final StreamAdmission.Terms TERMS =
      new StreamAdmission.Terms(false, 1, "", 800, 800, 0);

  private final FleetMember self = member("self", OWN_DOMAIN);
  private final FleetMember near = member("near", NEAR_DOMAIN);
  private final FleetMember far = member("far", FAR_DOMAIN);
  private final Deque<UniEmitter<? super PeerMessage>> pending = new ArrayDeque<>();
  private final List<String> sent = new ArrayList<>();
  private final List<String> results = new ArrayList<>();
  private final PlacementExchange exchange = exchange();
  private final StreamAdmission admission =
      new StreamAdmission(exchange, SERVICE, "r-1", new RecordedResult());

  @Test
  void queuedStreamIsPlacedByNotice() {
    ask(NEAR);
    reply(QUEUED);
    notice(near, PLACED);

    assertThat(results, contains("queued", "placed by near"));
    assertThat(sent, contains("query near true"));
  }

  /** Guards against waiting in two regions, where the capacity of one would be wasted. */
  @Test
  void otherRegionIsAskedWithoutQueueingAndFirstPositionIsWithdrawn() {
    ask(NEAR, FAR);
    reply(QUEUED);
    reply(PLACED);

    assertThat(results, contains("placed by far"));
    assertThat(sent, contains("query near true", "query far false", "ended near"));
  }

  @Test
  void refusalOfAllRegionsIsReportedWithShortestRetryTime() {
    ask(NEAR, FAR);
    reply(new StreamAdmissionReply(Outcome.REFUSED, NONE, 1_900, 0));
    reply(REFUSED);

    assertThat(results, contains("refused 1500"));
  }

  /** Guards against a stream that gets no answer waiting instead of being placed locally. */
  @Test
  void unreachableCoordinatorIsReported() {
    ask(NEAR);
    pending.remove().fail(new IllegalStateException("no response"));

    assertThat(results, contains("unreachable"));
  }

  /** Guards against a reservation for a call that has ended. */
  @Test
  void grantAfterCancelIsReleased() {
    ask(NEAR);
    reply(QUEUED);
    admission.cancel();
    sent.clear();
    notice(near, PLACED);

    assertThat(results, contains("queued"));
    assertThat(sent, contains("ended near"));
  }

  /** Guards against a late reply reserving capacity for a call that has ended. */
  @Test
  void replyAfterCancelIsReleased() {
    ask(NEAR);
    admission.cancel();
    reply(PLACED);

    assertThat(results, is(empty()));
    assertThat(sent, contains("query near true", "ended near"));
  }

  /** Guards against a repeated grant releasing the reservation that the stream uses. */
  @Test
  void repeatedGrantKeepsReservationInUse() {
    ask(NEAR);
    reply(QUEUED);
    ask(NEAR);
    notice(near, PLACED);
    reply(PLACED);
    notice(near, PLACED);

    assertThat(results, contains("queued", "placed by near"));
    assertThat(sent, contains("query near true", "query near true"));
  }

  /** Guards against losing a grant that arrives before the reply that the stream is queued. */
  @Test
  void noticeMayOvertakeReply() {
    ask(NEAR);
    notice(near, PLACED);
    reply(QUEUED);

    assertThat(results, contains("placed by near"));
    assertThat(sent, contains("query near true"));
  }

  /** Guards against a former coordinator's grant being used beside that of its successor. */
  @Test
  void grantOfOtherCoordinatorIsReleased() {
    ask(NEAR);
    reply(QUEUED);
    notice(far, PLACED);

    assertThat(results, contains("queued"));
    assertThat(sent, contains("query near true", "ended far"));
  }

  private void ask(RegionId... regions) {
    admission.ask(List.of(regions), STREAM, TERMS);
  }

  private void reply(StreamAdmissionReply reply) {
    pending.remove().complete(reply);
  }

  private void notice(FleetMember from, StreamAdmissionReply reply) {
    exchange.onNotice(from.incarnation(), new StreamAdmissionNotice("r-1", reply));
  }

  private static FleetMember member(String name, FailureDomainId domain) {
    return new FleetMember(IncarnationId.of(InstanceId.of(name), 1), domain, name, 1);
  }

  private PlacementExchange exchange() {
    FleetMembership members = FleetMembership.of(self, 200);
    members.recordMessage(0, near, List.of());
    members.recordMessage(0, far, List.of());
    Map<FailureDomainId, RegionId> regions =
        Map.of(OWN_DOMAIN, RegionId.of("own"), NEAR_DOMAIN, NEAR, FAR_DOMAIN, FAR);
    DecisionLog log = DecisionLog.of(() -> 0, new MetricRegistry());
    WorkloadTracker work = WorkloadTracker.of(2_500);
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    PlacementExchange created =
        PlacementExchange.of(
            self,
            members,
            regions,
            StreamCapacityAllocator.of(
                self.incarnation(),
                EndpointSelector.of(
                    DomainTopology.of(OWN_DOMAIN, regions), work, health, () -> 0.5),
                work,
                health),
            DirectoryCache.of(() -> 0, log),
            EndpointAvailability.create(),
            () -> 0,
            log,
            new MetricRegistry());
    created.transport(new RecordingMessenger());
    return created;
  }

  private final class RecordingMessenger implements PeerMessenger {
    @Override
    public void send(PeerAddress address, PeerMessage message) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void send(PeerAddress address, IncarnationId target, PeerMessage message) {
      assertThat(message, is(new StreamEndedNotice("r-1")));
      sent.add("ended " + target.instance());
    }

    @Override
    public Uni<PeerMessage> request(
        PeerAddress address, IncarnationId target, PeerMessage request, long timeoutMillis) {
      sent.add("query " + target.instance() + " " + ((StreamAdmissionQuery) request).mayQueue());
      return Uni.createFrom()
          .emitter(
              emitter -> {
                pending.add(emitter);
              });
    }
  }

  private final class RecordedResult implements StreamAdmission.Result {
    @Override
    public void onPlaced(FleetMember coordinator, StreamPlacementReply reply) {
      results.add("placed by " + coordinator.incarnation().instance());
    }

    @Override
    public void onQueued() {
      results.add("queued");
    }

    @Override
    public void onRefused(long retryAfterMillis) {
      results.add("refused " + retryAfterMillis);
    }

    @Override
    public void onUnreachable() {
      results.add("unreachable");
    }
  }
}
