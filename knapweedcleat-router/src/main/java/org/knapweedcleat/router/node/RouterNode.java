package org.knapweedcleat.router.node;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.config.RevisionOutcome;
import org.knapweedcleat.core.drain.DrainState;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.limit.LimitMessage;
import org.knapweedcleat.core.limit.DistributedRateLimiter;
import org.knapweedcleat.core.membership.Heartbeat;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.core.membership.MembershipTracker;
import org.knapweedcleat.core.membership.MembershipAction;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.core.schedule.SchedulePolicy;
import org.knapweedcleat.router.caller.CallerContext;
import org.knapweedcleat.router.caller.CallerLimits;
import org.knapweedcleat.router.caller.CallerServer;
import org.knapweedcleat.router.document.DocumentKeeper;
import org.knapweedcleat.router.document.PeerDocumentFetch;
import org.knapweedcleat.router.gate.DocumentKeyCheck;
import org.knapweedcleat.router.lifecycle.Closer;
import org.knapweedcleat.router.limit.DomainDraw;
import org.knapweedcleat.router.limit.DomainDrawAnswer;
import org.knapweedcleat.router.limit.DomainLimitGate;
import org.knapweedcleat.router.limit.LimitDesk;
import org.knapweedcleat.router.operator.InstanceState;
import org.knapweedcleat.router.operator.InstanceStatus;
import org.knapweedcleat.router.operator.OperatorServer;
import org.knapweedcleat.router.order.OrderDesk;
import org.knapweedcleat.router.peer.DocumentRequest;
import org.knapweedcleat.router.peer.Hello;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessageHandler;
import org.knapweedcleat.router.peer.PeerTransport;
import org.knapweedcleat.router.placement.EngineCanceller;
import org.knapweedcleat.router.placement.LoadPoller;
import org.knapweedcleat.router.placement.LocalSchedulers;
import org.knapweedcleat.router.placement.PlacementDesk;

/** One run of an instance: all its parts on one event loop. */
public final class RouterNode implements PeerMessageHandler {

  private final Vertx vertx;
  private final Context loop;
  private final NodeContext context;
  private final Closer closer = Closer.create();
  private final PeerTransport transport;
  private final MembershipTracker membership;
  private final AddressBook addresses;
  private final DocumentKeeper keeper;
  private final PeerDocumentFetch fetch;
  private final LocalSchedulers schedulers;
  private final LoadPoller poller;
  private final OrderDesk orders;
  private final PlacementDesk placements;
  private final ClaimTraffic claims;
  private final LimitDesk limits;
  private final DomainLimitGate domainLimits;
  private final CallerServer callers;
  private final PlatformReader platform;
  private final Readiness readiness;
  private final OperatorServer operators;
  private final EngineCanceller canceller;
  private final Duties duties;
  private final Incarnations incarnations = Incarnations.create();
  private final Promise<Integer> stopped = Promise.promise();
  private Promise<Integer> draining;

  private RouterNode(Vertx vertx, NodeContext context) {
    this.vertx = vertx;
    this.loop = vertx.getOrCreateContext();
    this.context = context;
    InstanceSettings settings = context.settings();
    FailureDomainId domain = settings.domain();
    Hello hello = new Hello(context.incarnation(), domain);
    this.transport = PeerTransport.create(vertx, hello, context.metrics(), this);
    Member self = context.self();
    this.membership = MembershipTracker.of(self, NodeTimes.membership(settings.peers()));
    MembershipView view = membership.view();
    this.addresses = AddressBook.of(transport, view);
    this.keeper =
        DocumentKeeper.of(
            settings.platform().document(),
            context.monitor(),
            context.metrics(),
            context.audit(),
            context::nowMillis,
            this::onDocument);
    this.duties = Duties.of(keeper, view);
    this.fetch = PeerDocumentFetch.of(keeper, addresses::askForDocument);
    this.canceller = EngineCanceller.create(vertx, keeper, context.metrics());
    this.schedulers =
        LocalSchedulers.of(
            domain,
            SchedulePolicy.defaults(),
            context.monitor(),
            context.metrics(),
            context::nowMillis,
            canceller);
    this.poller = LoadPoller.create(vertx, schedulers, context.metrics());
    this.orders = OrderDesk.create(vertx, context.metrics(), context.audit(), context::nowMillis);
    this.placements =
        PlacementDesk.of(view, schedulers, addresses, context::nowMillis, context.metrics());
    this.claims = ClaimTraffic.of(context.incarnation(), duties, placements, schedulers, addresses);
    this.limits = newLimitDesk();
    this.domainLimits =
        DomainLimitGate.of(limits, addresses::drawIn, context::nowMillis, context.metrics());
    this.readiness =
        Readiness.of(
            keeper,
            domain,
            limits::ownsShare,
            context::nowMillis,
            settings.peers().heartbeatTimeoutMillis(),
            NodeTimes.shareWaitMillis(settings.peers()));
    this.callers =
        CallerServer.create(vertx, callerContext(), settings.host(), settings.callerPort());
    this.platform =
        PlatformReader.create(vertx, context, keeper, () -> onConfirmed(0), this::onListed);
    NodeOperators sources = NodeOperators.of(this, context);
    this.operators =
        OperatorServer.create(vertx, sources, settings.host(), settings.operatorPort());
  }

  /**
   * Starts a run of an instance.
   *
   * @param vertx runs it
   * @param context what its parts share
   * @return the run, once it listens; it is ready later, when it knows what is in force
   */
  public static Future<RouterNode> start(Vertx vertx, NodeContext context) {
    Promise<RouterNode> started = Promise.promise();
    vertx
        .getOrCreateContext()
        .runOnContext(
            ignored -> {
              RouterNode node = new RouterNode(vertx, context);
              node.begin().onComplete(started);
            });
    return started.future();
  }

  @Override
  public void onMessage(IncarnationId from, PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(from, heartbeat);
    } else if (message instanceof LimitMessage limitMessage) {
      limits.receive(from, limitMessage);
    } else if (message instanceof PlacementProgress progress) {
      schedulers.progress(progress);
      placements.report(progress);
    } else if (message instanceof RunningClaims running) {
      claims.receive(from, running);
    } else {
      context.metrics().counter("peer.messages.unexpected").inc();
    }
  }

  @Override
  public Uni<PeerMessage> onRequest(IncarnationId from, PeerMessage question) {
    if (question instanceof PlacementRequest request) {
      boolean near = duties.isInDomain(from);
      return (near ? schedulers.submit(request) : placements.relay(request)).map(found -> found);
    }
    if (question instanceof DocumentRequest request) {
      return Uni.createFrom().item(keeper.part(request));
    }
    if (question instanceof DomainDraw draw) {
      return limits.acquire(draw.account(), draw.tokens()).map(DomainDrawAnswer::of);
    }
    return callers.answer(question, from);
  }

  /**
   * Stops as planned: takes nothing new, finishes what runs, hands over and closes.
   *
   * @return the requests that were cut, normally 0; the same for each call
   */
  public Future<Integer> drain() {
    Promise<Integer> drained = Promise.promise();
    loop.runOnContext(ignored -> leave().onComplete(drained));
    return drained.future();
  }

  /**
   * Tells when a planned stop is over, whoever began it.
   *
   * @return the requests that were cut, normally 0
   */
  public Future<Integer> stopped() {
    return stopped.future();
  }

  /** Tells how far the instance is; may be called on any thread. */
  InstanceState state() {
    if (draining != null) {
      return InstanceState.DRAINING;
    }
    if (readiness.isReady()) {
      return InstanceState.READY;
    }
    return keeper.current().isPresent() ? InstanceState.JOINING : InstanceState.STARTING;
  }

  /** Gathers the status on the event loop. */
  Uni<InstanceStatus> status() {
    return callers.running().map(this::statusWith);
  }

  private InstanceStatus statusWith(Set<RequestId> running) {
    Optional<FleetSnapshot> snapshot = keeper.current();
    return new InstanceStatus(
        context.incarnation().instance(),
        context.incarnation(),
        context.settings().domain(),
        state(),
        keeper.revision(),
        snapshot.map(FleetSnapshot::digest).orElse(""),
        keeper.unconfirmedMillis(),
        membership.view().live(),
        duties.scheduledPools(),
        duties.accountsKept(),
        running.size(),
        context.monitor().violationCount());
  }

  private Future<Integer> leave() {
    if (draining == null) {
      draining = Promise.promise();
      run(membership.leave(context.nowMillis()));
      callers.beginDrain();
      vertx.setTimer(DrainState.GRACE_PERIOD_MILLIS, grace -> limits.handOver());
      callers.drained().subscribe().with(cut -> finish(cut, draining), draining::fail);
    }
    return draining.future();
  }

  private Future<RouterNode> begin() {
    closer.addLater(transport::close);
    closer.add(poller::close);
    closer.add(orders::close);
    closer.add(canceller::close);
    closer.add(platform::close);
    closer.addLater(
        () -> Future.fromCompletionStage(operators.close().subscribeAsCompletionStage()));
    InstanceSettings settings = context.settings();
    return transport
        .listen(settings.host(), settings.peerPort())
        .compose(port -> listening(callers.start()))
        .compose(port -> listening(operators.start()))
        .map(port -> started());
  }

  private static Future<Integer> listening(Uni<Integer> start) {
    Promise<Integer> listening = Promise.promise();
    start.subscribe().with(listening::complete, listening::fail);
    return listening.future();
  }

  private RouterNode started() {
    platform.start();
    every(NodeTimes.TICK_MILLIS, this::tick);
    every(NodeTimes.MEMBERSHIP_TICK_MILLIS, () -> run(membership.tick(context.nowMillis())));
    every(NodeTimes.POLL_MILLIS, this::lookAfterEngines);
    every(NodeTimes.CLAIM_MILLIS, claims::send);
    return this;
  }

  private void every(long periodMillis, Runnable step) {
    long timer = vertx.setPeriodic(periodMillis, fired -> step.run());
    closer.add(() -> vertx.cancelTimer(timer));
  }

  private void tick() {
    schedulers.tick();
    placements.tick();
    limits.tick();
  }

  private void finish(int cut, Promise<Integer> drained) {
    closer
        .closeAll()
        .onComplete(
            closed -> {
              drained.complete(cut);
              stopped.complete(cut);
            });
  }

  private LimitDesk newLimitDesk() {
    DistributedRateLimiter limiter =
        DistributedRateLimiter.of(
            context.incarnation(),
            context.settings().domain(),
            NodeTimes.limits(context.settings().peers()),
            context.monitor());
    return LimitDesk.of(limiter, context::nowMillis, context.metrics(), addresses::tell);
  }

  private CallerContext callerContext() {
    InstanceSettings.Limits bounds = context.settings().limits();
    return new CallerContext(
        context.incarnation(),
        context.settings().domain(),
        readiness,
        DocumentKeyCheck.of(readiness),
        domainLimits,
        placements,
        addresses,
        context::nowMillis,
        context.random()::nextLong,
        context.metrics(),
        context.monitor(),
        context.audit(),
        new CallerLimits(
            bounds.maxBodyBytes(),
            bounds.maxHeaderBytes(),
            bounds.maxInFlight(),
            bounds.drainTimeoutMillis()));
  }

  private void onHeartbeat(IncarnationId from, Heartbeat heartbeat) {
    if (!from.equals(heartbeat.sender().incarnation())) {
      context.metrics().counter("peer.messages.unexpected").inc();
      return;
    }
    run(membership.onHeartbeat(context.nowMillis(), heartbeat));
    if (heartbeat.confirmsRevision(keeper.revision())) {
      onConfirmed(heartbeat.documentAgeMillis());
    }
    readiness.announced(heartbeat.revision());
    fetch.announced(from, heartbeat.revision());
  }

  private void onConfirmed(long ageMillis) {
    keeper.confirmed(ageMillis);
    membership.onDocumentConfirmed(context.nowMillis(), ageMillis);
  }

  private void onListed(List<ListedInstance> list) {
    run(membership.onInstanceList(context.nowMillis(), list));
  }

  private void onDocument(RevisionOutcome.Applied applied) {
    FleetSnapshot snapshot = applied.snapshot();
    schedulers.configure(snapshot.document());
    limits.configure(snapshot);
    domainLimits.configure(duties.otherDomains());
    callers.documentChanged(snapshot);
    run(membership.onDocumentApplied(context.nowMillis(), snapshot.revision(), snapshot.digest()));
  }

  private void run(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send message) {
        PeerAddress to = new PeerAddress(message.to(), message.host(), message.peerPort());
        transport.send(to, message.heartbeat());
      } else if (action instanceof MembershipAction.ViewChanged changed) {
        onView(changed.view());
      }
    }
  }

  private void onView(MembershipView view) {
    addresses.members(view);
    duties.update(view);
    limits.members(view);
    schedulers.members(duties.members());
    incarnations.endedIn(view).forEach(schedulers::incarnationEnded);
    placements.members(view);
    platform.setDuty(ReaderDuty.isReader(view), view.selfListed());
  }

  private void lookAfterEngines() {
    List<EndpointSpec> engines = duties.scheduledEngines();
    poller.poll(engines);
    long epoch = membership.view().epoch();
    keeper.current().ifPresent(snapshot -> orders.step(engines, snapshot, epoch));
  }
}
